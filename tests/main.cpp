// RapidCheck properties read their seed from the environment variable RC_PARAMS, which the test command sets.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
