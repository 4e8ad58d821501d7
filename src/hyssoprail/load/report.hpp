#ifndef HYSSOPRAIL_LOAD_REPORT_HPP
#define HYSSOPRAIL_LOAD_REPORT_HPP

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "hyssoprail/load/summary.hpp"

namespace hyssoprail::load {

/// Summaries side by side, one column for each, as text.
std::string textReport(const std::vector<Summary> &Runs);

/// The same figures as JSON.
nlohmann::json jsonReport(const std::vector<Summary> &Runs);

/// An SVG plot: goodput over time and the main measures as bars, one colour
/// for each run.
std::string svgReport(const std::vector<Summary> &Runs,
                      const std::string &Title);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_REPORT_HPP
