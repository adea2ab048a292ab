#include "servers/scheduling/charts.h"

#include <stdexcept>

#include "servers/scheduling/chart_texts.h"

namespace quetzalshelf::scheduling {

Charts Charts::LoadEmbedded() {
  Findings findings;
  StateChart::Parse(chart_texts::task, "charts/task.yaml", findings);
  Charts charts = {{chart_texts::job,
                    "charts/job.yaml",
                    {"waiting", "starting", "running", "stopping", "cancelling",
                     "failing", "finished", "cancelled", "refused", "failed"},
                    {"start", "started", "start_failed", "finished", "stop",
                     "stopped", "lost", "cancel", "fail", "refuse"},
                    findings},
                   {chart_texts::gang,
                    "charts/gang.yaml",
                    {"idle", "starting", "running", "saving", "stopping"},
                    {"start", "started", "save", "saved", "stop", "ended"},
                    findings},
                   {chart_texts::worker,
                    "charts/worker.yaml",
                    {"unknown", "in_service", "probation", "probing", "lost",
                     "lost_on_probation"},
                    {"add", "lose", "suspect", "probe", "clear"},
                    findings},
                   {chart_texts::failure_domain,
                    "charts/failure_domain.yaml",
                    {"in_service", "out", "returning"},
                    {"leave", "return", "settle"},
                    findings}};
  if (!findings.empty())
    throw std::logic_error(findings.ToString());
  return charts;
}

}  // namespace quetzalshelf::scheduling
