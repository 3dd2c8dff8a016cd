// The logging library is built from its own source, once.
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
