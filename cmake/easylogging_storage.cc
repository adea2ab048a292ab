// The state of easylogging++. It belongs to the library, since programs that
// log nothing still link functions of the library that use it.

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
