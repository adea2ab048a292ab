// The texts of charts/*.yaml, embedded when the project is built.

#ifndef SERVERS_SCHEDULING_CHART_TEXTS_H_
#define SERVERS_SCHEDULING_CHART_TEXTS_H_

namespace quetzalshelf::scheduling::chart_texts {

extern const char* const failure_domain;
extern const char* const gang;
extern const char* const job;
extern const char* const task;
extern const char* const worker;

}  // namespace quetzalshelf::scheduling::chart_texts

#endif  // SERVERS_SCHEDULING_CHART_TEXTS_H_
