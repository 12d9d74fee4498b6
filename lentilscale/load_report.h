// Turns the results of a run into one JSON document and one HTML page.
//
//   auto summary = SummarizeLoad(experiment, result);
//   WriteFile(path, DumpJson(summary));
//   WriteFile(html, RenderLoadReport(experiment, result, summary));

#ifndef LENTILSCALE_LOAD_REPORT_H_
#define LENTILSCALE_LOAD_REPORT_H_

#include <json/json.h>

#include <string>

#include "lentilscale/load_run.h"

namespace lentilscale {

// Returns the fields of docs/MEASUREMENTS.md: waits by class, outcomes,
// packing, share error and control cost.
auto SummarizeLoad(const LoadExperiment& experiment, const LoadResult& result)
    -> Json::Value;

// Returns a self-contained page with the summary and SVG plots of use, shares
// and waits over time.
auto RenderLoadReport(const LoadExperiment& experiment,
                      const LoadResult& result, const Json::Value& summary)
    -> std::string;

// Returns the value below which `fraction` of `values` lie; 0 if there are
// none.
auto QuantileOf(std::vector<double> values, double fraction) -> double;

}  // namespace lentilscale

#endif  // LENTILSCALE_LOAD_REPORT_H_
