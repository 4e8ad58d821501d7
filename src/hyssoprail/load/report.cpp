#include "hyssoprail/load/report.hpp"

#include <array>

#include <fmt/format.h>

namespace hyssoprail::load {
namespace {

using nlohmann::json;

/// One figure of the report: its name, its unit and where it is found.
struct FigureRow {
  const char *Name;
  const char *Format;
  double (*Value)(const Summary &);
};

double withinRateRefused(const Summary &S) {
  if (S.WithinRate == 0)
    return 0;
  return static_cast<double>(S.WithinRateRefused) /
         static_cast<double>(S.WithinRate);
}

const std::array<FigureRow, 14> Figures{{
    {"goodput (requests/s)", "{:.1f}",
     [](const Summary &S) { return S.Goodput; }},
    {"complete (requests/s)", "{:.1f}",
     [](const Summary &S) { return S.Throughput; }},
    {"wasted prefill (%)", "{:.2f}",
     [](const Summary &S) { return 100 * S.WastedPrefill; }},
    {"worst-served account (%)", "{:.1f}",
     [](const Summary &S) { return 100 * S.WorstServed; }},
    {"within-rate refusals (%)", "{:.2f}",
     [](const Summary &S) { return 100 * withinRateRefused(S); }},
    {"first token p50 (ms)", "{:.1f}",
     [](const Summary &S) { return S.FirstTokenP50Ms; }},
    {"first token p95 (ms)", "{:.1f}",
     [](const Summary &S) { return S.FirstTokenP95Ms; }},
    {"first token p99 (ms)", "{:.1f}",
     [](const Summary &S) { return S.FirstTokenP99Ms; }},
    {"between tokens p50 (ms)", "{:.2f}",
     [](const Summary &S) { return S.BetweenTokensP50Ms; }},
    {"between tokens p95 (ms)", "{:.2f}",
     [](const Summary &S) { return S.BetweenTokensP95Ms; }},
    {"plain call p50 (ms)", "{:.2f}",
     [](const Summary &S) { return S.CallP50Ms; }},
    {"plain call p99 (ms)", "{:.2f}",
     [](const Summary &S) { return S.CallP99Ms; }},
    {"wrong answers", "{:.0f}",
     [](const Summary &S) {
       const auto It = S.Outcomes.find("wrong");
       return It == S.Outcomes.end() ? 0.0 : static_cast<double>(It->second);
     }},
    {"engine crashes", "{:.0f}",
     [](const Summary &S) { return static_cast<double>(S.EngineCrashes); }},
}};

constexpr std::array<const char *, 6> Colours{"#4c72b0", "#dd8452", "#55a868",
                                              "#c44e52", "#8172b3", "#937860"};

std::string joinCounts(const std::map<std::string, std::size_t> &Counts) {
  std::string Out;
  for (const auto &[Name, Count] : Counts)
    Out += fmt::format("{}{} {}", Out.empty() ? "" : ", ", Name, Count);
  return Out.empty() ? "none" : Out;
}

json accountJson(const AccountSummary &A) {
  return {{"name", A.Name},
          {"offered", A.Offered},
          {"complete", A.Complete},
          {"offered_tokens", A.OfferedTokens},
          {"served_tokens", A.ServedTokens},
          {"entitled_tokens", A.EntitledTokens},
          {"share", A.Share}};
}

std::string polyline(const std::vector<double> &Values, double Highest,
                     const char *Colour, double Left, double Top, double Width,
                     double Height) {
  std::string Points;
  for (std::size_t I = 0; I < Values.size(); ++I) {
    const double Step =
        Values.size() > 1 ? Width / static_cast<double>(Values.size() - 1) : 0;
    Points +=
        fmt::format("{:.1f},{:.1f} ", Left + Step * static_cast<double>(I),
                    Top + Height - Height * Values[I] / Highest);
  }
  return fmt::format("<polyline fill=\"none\" stroke=\"{}\" "
                     "stroke-width=\"2\" points=\"{}\"/>\n",
                     Colour, Points);
}

std::string bars(const std::vector<Summary> &Runs, const FigureRow &Row,
                 double Left, double Top) {
  constexpr double Width = 150;
  constexpr double Height = 90;
  double Highest = 1e-9;
  for (const Summary &S : Runs)
    Highest = std::max(Highest, Row.Value(S));
  std::string Out =
      fmt::format("<text x=\"{}\" y=\"{}\" font-size=\"11\">{}</text>\n", Left,
                  Top - 6, Row.Name);
  const double Slot = Width / static_cast<double>(Runs.size());
  for (std::size_t I = 0; I < Runs.size(); ++I) {
    const double Value = Row.Value(Runs[I]);
    const double Bar = Height * Value / Highest;
    const double X = Left + Slot * static_cast<double>(I);
    Out += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
                       "height=\"{:.1f}\" fill=\"{}\"/>\n",
                       X, Top + Height - Bar, Slot * 0.8, Bar,
                       Colours[I % Colours.size()]);
    Out += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" font-size=\"9\">{}"
                       "</text>\n",
                       X, Top + Height + 11,
                       fmt::format(fmt::runtime(Row.Format), Value));
  }
  return Out;
}

} // namespace

std::string textReport(const std::vector<Summary> &Runs) {
  std::string Out = fmt::format("{:28}", "");
  for (const Summary &S : Runs)
    Out += fmt::format("{:>22}", S.Label);
  Out += "\n";
  for (const FigureRow &Row : Figures) {
    Out += fmt::format("{:28}", Row.Name);
    for (const Summary &S : Runs)
      Out += fmt::format("{:>22}",
                         fmt::format(fmt::runtime(Row.Format), Row.Value(S)));
    Out += "\n";
  }
  for (const Summary &S : Runs) {
    Out += fmt::format("\n{}: {} requests in {:.0f} s; {}; errors: {}\n",
                       S.Label, S.Requests, S.Seconds, joinCounts(S.Outcomes),
                       joinCounts(S.ErrorCodes));
    for (const AccountSummary &A : S.Accounts)
      Out += fmt::format("  {:12} offered {:5}, complete {:5}, served over "
                         "entitled {:.1f}%\n",
                         A.Name, A.Offered, A.Complete, 100 * A.Share);
  }
  return Out;
}

json jsonReport(const std::vector<Summary> &Runs) {
  json Out = json::array();
  for (const Summary &S : Runs) {
    json Row = {{"label", S.Label},
                {"seconds", S.Seconds},
                {"requests", S.Requests},
                {"outcomes", S.Outcomes},
                {"error_codes", S.ErrorCodes},
                {"goodput_per_second", S.GoodputPerSecond},
                {"offered_per_second", S.OfferedPerSecond}};
    for (const FigureRow &Figure : Figures)
      Row["figures"][Figure.Name] = Figure.Value(S);
    for (const AccountSummary &A : S.Accounts)
      Row["accounts"].push_back(accountJson(A));
    Out.push_back(std::move(Row));
  }
  return Out;
}

std::string svgReport(const std::vector<Summary> &Runs,
                      const std::string &Title) {
  constexpr double PlotLeft = 50;
  constexpr double PlotTop = 50;
  constexpr double PlotWidth = 700;
  constexpr double PlotHeight = 180;
  double Highest = 1;
  for (const Summary &S : Runs)
    for (double Value : S.OfferedPerSecond)
      Highest = std::max(Highest, Value);
  std::string Out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" "
                    "height=\"560\" font-family=\"sans-serif\">\n"
                    "<rect width=\"800\" height=\"560\" fill=\"white\"/>\n";
  Out += fmt::format("<text x=\"50\" y=\"20\" font-size=\"15\">{}</text>\n",
                     Title);
  Out += fmt::format("<text x=\"50\" y=\"42\" font-size=\"11\">requests that "
                     "met their targets, by second (highest {:.0f}/s; dashed: "
                     "offered)</text>\n",
                     Highest);
  Out += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" "
                     "fill=\"none\" stroke=\"#999\"/>\n",
                     PlotLeft, PlotTop, PlotWidth, PlotHeight);
  for (std::size_t I = 0; I < Runs.size(); ++I) {
    const char *Colour = Colours[I % Colours.size()];
    Out += polyline(Runs[I].GoodputPerSecond, Highest, Colour, PlotLeft,
                    PlotTop, PlotWidth, PlotHeight);
    Out += fmt::format("<rect x=\"{}\" y=\"245\" width=\"12\" height=\"12\" "
                       "fill=\"{}\"/><text x=\"{}\" y=\"255\" "
                       "font-size=\"11\">{}</text>\n",
                       50 + 180 * I, Colour, 66 + 180 * I, Runs[I].Label);
  }
  if (!Runs.empty()) {
    std::string Offered =
        polyline(Runs.front().OfferedPerSecond, Highest, "#777", PlotLeft,
                 PlotTop, PlotWidth, PlotHeight);
    Offered.replace(Offered.find("stroke-width=\"2\""), 16,
                    "stroke-width=\"1\" stroke-dasharray=\"4\"");
    Out += Offered;
  }
  constexpr std::size_t BarsPerRow = 4;
  constexpr std::array<std::size_t, 8> BarFigures{0, 2, 3, 4, 6, 7, 9, 11};
  for (std::size_t I = 0; I < BarFigures.size(); ++I)
    Out += bars(Runs, Figures[BarFigures[I]],
                50 + 180 * static_cast<double>(I % BarsPerRow),
                I < BarsPerRow ? 300 : 430);
  return Out + "</svg>\n";
}

} // namespace hyssoprail::load
