#include "http/message_reader.h"

#include <boost/beast/core/string.hpp>
#include <iterator>

namespace hornbeampick
{

bool hasKnownFraming(const boost::beast::http::fields &fields)
{
    const auto [first, last] = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (first == last) {
        return true;
    }
    return std::next(first) == last && boost::beast::iequals(first->value(), "chunked");
}

} // namespace hornbeampick
