// Reports the result of a run as a table with sparklines and as JSON.
#ifndef PROGRAMS_LOAD_REPORT_H_
#define PROGRAMS_LOAD_REPORT_H_

#include <string>
#include <vector>

#include "programs/load/callers.h"
#include "programs/load/trainer.h"

namespace limpethatch::load {

// One character per value; higher values get darker characters.
std::string Sparkline(const std::vector<double>& values);

// A table for people.
std::string ReportTable(const Callers& callers,
                        const std::vector<TrainerResult>& trainers);

// One line of JSON, for programs.
std::string ReportJson(uint64_t seed,
                       const Callers& callers,
                       bool runs_known,
                       const std::vector<TrainerResult>& trainers);

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_REPORT_H_
