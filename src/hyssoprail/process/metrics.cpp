#include "hyssoprail/process/metrics.hpp"

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<std::string_view, 3> PrometheusTypes{"counter", "gauge",
                                                          "summary"};

void appendEscaped(std::string &Out, std::string_view Text) {
  for (const char C : Text) {
    if (C == '\\' || C == '"')
      Out.push_back('\\');
    if (C == '\n')
      Out += "\\n";
    else
      Out.push_back(C);
  }
}

std::string renderLabels(const MetricLabels &Labels) {
  std::string Out;
  for (const auto &[Name, Value] : Labels) {
    if (!Out.empty())
      Out.push_back(',');
    Out += Name;
    Out += "=\"";
    appendEscaped(Out, Value);
    Out.push_back('"');
  }
  return Out;
}

std::string seriesName(std::string_view Name, const std::string &Labels,
                       std::string_view ExtraLabel = {}) {
  if (Labels.empty() && ExtraLabel.empty())
    return std::string(Name);
  const char *Comma = Labels.empty() || ExtraLabel.empty() ? "" : ",";
  return fmt::format("{}{{{}{}{}}}", Name, Labels, Comma, ExtraLabel);
}

void appendSummary(std::string &Out, std::string &MaxOut,
                   const std::string &Name, const std::string &Labels,
                   const DistributionSummary &S) {
  for (std::size_t I = 0; I < S.Quantiles.size(); ++I) {
    const auto Quantile =
        fmt::format("quantile=\"{}\"", DistributionQuantiles[I]);
    Out += fmt::format("{} {}\n", seriesName(Name, Labels, Quantile),
                       S.Quantiles[I]);
  }
  Out += fmt::format("{} {}\n", seriesName(Name + "_sum", Labels), S.Sum);
  Out += fmt::format("{} {}\n", seriesName(Name + "_count", Labels), S.Count);
  MaxOut += fmt::format("{} {}\n", seriesName(Name + "_max", Labels), S.Max);
}

} // namespace

template <typename T>
T &Metrics::findOrCreate(std::string_view Name, const MetricLabels &Labels) {
  std::pair<std::string, std::string> Key(Name, renderLabels(Labels));
  // The shard depends only on the name, so that all series of a name are in one
  // shard and their types can be compared under one lock.
  Shard &S = Shards[stableHash(Name) % ShardCount];
  std::lock_guard Lock(S.Mutex);
  auto It = S.ByNameAndLabels.find(Key);
  if (It == S.ByNameAndLabels.end())
    It = S.ByNameAndLabels.emplace(Key, std::make_unique<T>()).first;
  if (auto *Found = std::get_if<std::unique_ptr<T>>(&It->second))
    return **Found;
  static T Unexported;
  return Unexported;
}

Counter &Metrics::counter(std::string_view Name, const MetricLabels &Labels) {
  return findOrCreate<Counter>(Name, Labels);
}

Gauge &Metrics::gauge(std::string_view Name, const MetricLabels &Labels) {
  return findOrCreate<Gauge>(Name, Labels);
}

Distribution &Metrics::distribution(std::string_view Name,
                                    const MetricLabels &Labels) {
  return findOrCreate<Distribution>(Name, Labels);
}

std::string Metrics::prometheusText() const {
  struct Family {
    std::size_t Type = 0;
    std::string Lines;
    std::string MaxLines;
  };
  std::map<std::string, Family> Families;
  for (const Shard &S : Shards) {
    std::lock_guard Lock(S.Mutex);
    for (const auto &[Key, Value] : S.ByNameAndLabels) {
      const auto &[Name, Labels] = Key;
      auto [It, IsNew] = Families.try_emplace(Name);
      Family &F = It->second;
      if (IsNew)
        F.Type = Value.index();
      if (F.Type != Value.index())
        continue;
      if (const auto *C = std::get_if<std::unique_ptr<Counter>>(&Value))
        F.Lines +=
            fmt::format("{} {}\n", seriesName(Name, Labels), (*C)->value());
      else if (const auto *G = std::get_if<std::unique_ptr<Gauge>>(&Value))
        F.Lines +=
            fmt::format("{} {}\n", seriesName(Name, Labels), (*G)->value());
      else
        appendSummary(
            F.Lines, F.MaxLines, Name, Labels,
            std::get<std::unique_ptr<Distribution>>(Value)->summary());
    }
  }
  std::string Out;
  for (const auto &[Name, F] : Families) {
    Out +=
        fmt::format("# TYPE {} {}\n{}", Name, PrometheusTypes[F.Type], F.Lines);
    if (!F.MaxLines.empty())
      Out += fmt::format("# TYPE {}_max gauge\n{}", Name, F.MaxLines);
  }
  return Out;
}

} // namespace hyssoprail
