// Compiles the source file of the logging library.
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
