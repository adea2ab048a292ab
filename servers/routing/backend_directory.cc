#include "servers/routing/backend_directory.h"

#include <algorithm>
#include <iterator>

namespace quetzalshelf::routing {

namespace {

// Share of the newest answer in the moving average of answer times.
constexpr double kAverageWeight = 0.1;

}  // namespace

BackendDirectory::BackendDirectory(DirectoryOptions options)
    : options_(options), outliers_(options.outliers) {}

void BackendDirectory::SetServers(const std::vector<BackendEntry>& servers,
                                  TimePoint now) {
  for (auto& [id, server] : servers_)
    server.listed = false;
  for (const BackendEntry& it : servers) {
    Server& server = servers_[it.address.backend];
    server.entry = it;
    server.listed = true;
  }
  for (auto it = servers_.begin(); it != servers_.end();) {
    const Server& server = it->second;
    const bool forget =
        !server.listed && server.in_flight == 0 && now >= server.leaving_until;
    if (forget)
      outliers_.Forget(it->first);
    it = forget ? servers_.erase(it) : std::next(it);
  }
}

void BackendDirectory::MarkLeaving(const BackendId& backend, TimePoint now) {
  if (auto it = servers_.find(backend); it != servers_.end())
    it->second.leaving_until = now + options_.leaving_hold;
}

void BackendDirectory::RecordSent(const BackendId& backend) {
  if (auto it = servers_.find(backend); it != servers_.end())
    ++it->second.in_flight;
}

void BackendDirectory::RecordAnswer(const BackendId& backend,
                                    int free_slots,
                                    Duration took,
                                    TimePoint now) {
  const auto it = servers_.find(backend);
  if (it == servers_.end())
    return;
  Server& server = it->second;
  Finish(server);
  outliers_.RecordSuccess(backend);
  const int busy = server.entry.slots - free_slots;
  server.foreign_load = std::max(0, busy - server.in_flight);
  server.load_reported = now;
  const auto millis = static_cast<double>(took.count());
  server.answer_ms =
      server.answer_ms == 0
          ? millis
          : server.answer_ms + kAverageWeight * (millis - server.answer_ms);
}

void BackendDirectory::RecordFull(const BackendId& backend, TimePoint now) {
  const auto it = servers_.find(backend);
  if (it == servers_.end())
    return;
  Finish(it->second);
  it->second.full_until = now + options_.full_pause;
}

void BackendDirectory::RecordFailure(const BackendId& backend, TimePoint now) {
  const auto it = servers_.find(backend);
  if (it == servers_.end())
    return;
  Finish(it->second);
  outliers_.RecordFailure(backend, CountListed(), now);
}

std::vector<Candidate> BackendDirectory::Candidates(const BackendId& except,
                                                    TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, server] : servers_) {
    if (MayTake(server, now))
      candidates.push_back(
          {id, server.entry.slots, LoadOf(server, now), server.answer_ms});
  }
  if (candidates.size() > 1) {
    std::erase_if(candidates,
                  [&except](const auto& it) { return it.backend == except; });
  }
  return candidates;
}

const BackendAddress* BackendDirectory::Find(const BackendId& backend) const {
  const auto it = servers_.find(backend);
  return it == servers_.end() ? nullptr : &it->second.entry.address;
}

std::vector<BackendId> BackendDirectory::LeavingServers(TimePoint now) const {
  std::vector<BackendId> leaving;
  for (const auto& [id, server] : servers_) {
    if (IsLeaving(server, now))
      leaving.push_back(id);
  }
  return leaving;
}

bool BackendDirectory::IsLeaving(const Server& server, TimePoint now) const {
  return server.entry.leaving || now < server.leaving_until;
}

bool BackendDirectory::MayTake(const Server& server, TimePoint now) const {
  if (!server.listed || IsLeaving(server, now) || now < server.full_until)
    return false;
  if (outliers_.IsEjected(server.entry.address.backend, now))
    return false;
  return LoadOf(server, now) < server.entry.slots;
}

int BackendDirectory::LoadOf(const Server& server, TimePoint now) const {
  const bool fresh = now - server.load_reported < options_.load_report_lifetime;
  return server.in_flight + (fresh ? server.foreign_load : 0);
}

void BackendDirectory::Finish(Server& server) {
  server.in_flight = std::max(0, server.in_flight - 1);
}

int BackendDirectory::CountListed() const {
  return static_cast<int>(
      std::count_if(servers_.begin(), servers_.end(),
                    [](const auto& it) { return it.second.listed; }));
}

}  // namespace quetzalshelf::routing
