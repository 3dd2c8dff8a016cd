// Properties take their seed from RC_PARAMS, which the test command sets.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
