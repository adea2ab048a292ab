// For code that includes the class under its former path.

#ifndef STANDINS_WORKER_WORKER_MODEL_H_
#define STANDINS_WORKER_WORKER_MODEL_H_

#include "drivers/worker/worker_model.h"

#endif  // STANDINS_WORKER_WORKER_MODEL_H_
