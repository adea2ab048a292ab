// For code that includes the class under its former path.

#ifndef STANDINS_WORKER_IN_PROCESS_WORKERS_H_
#define STANDINS_WORKER_IN_PROCESS_WORKERS_H_

#include "drivers/worker/in_process_workers.h"

#endif  // STANDINS_WORKER_IN_PROCESS_WORKERS_H_
