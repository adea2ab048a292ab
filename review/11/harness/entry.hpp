// An entry node: the project's program as a process of its own, started with
// the command and the settings of the deploy file.

#ifndef REVIEW_HARNESS_3_ENTRY_HPP_
#define REVIEW_HARNESS_3_ENTRY_HPP_

#include <sys/types.h>

#include <string>

#include "record.hpp"
#include "store.hpp"

namespace review {

struct EntryOptions {
  std::string root;      // Of the repository.
  std::string work_dir;  // For settings and logs.
  std::string name;
  std::string zone;
  int store_port = 0;
  int64_t hold_max_ms = 6'000;
};

class Entry {
 public:
  Entry(Record& record, EntryOptions options);
  ~Entry();

  void Start();
  void Signal(int signal);
  // Waits for its end.
  void Reap();

  const std::string& name() const { return options_.name; }
  int callers_port() const { return callers_port_; }
  int readiness_port() const { return readiness_port_; }

 private:
  Json Fields() const;
  void WriteSettings() const;

  Record& record_;
  EntryOptions options_;
  int callers_port_;
  int readiness_port_;
  int metrics_port_;
  pid_t pid_ = 0;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_ENTRY_HPP_
