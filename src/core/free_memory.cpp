#include "core/free_memory.h"

#include <malloc.h>

namespace hornbeampick
{

void releaseFreeMemory()
{
    malloc_trim(0);
}

} // namespace hornbeampick
