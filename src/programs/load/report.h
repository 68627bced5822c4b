// The result of a run: a table with small plots, and one JSON object.
#ifndef PROGRAMS_LOAD_REPORT_H_
#define PROGRAMS_LOAD_REPORT_H_

#include <string>
#include <vector>

#include "programs/load/callers.h"
#include "programs/load/trainer.h"

namespace limpethatch::load {

// One character for each value, the higher the value the darker.
std::string Sparkline(const std::vector<double>& values);

// For people.
std::string ReportTable(const Callers& callers,
                        const std::vector<TrainerResult>& trainers);

// One line, for programs.
std::string ReportJson(uint64_t seed,
                       const Callers& callers,
                       bool runs_known,
                       const std::vector<TrainerResult>& trainers);

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_REPORT_H_
