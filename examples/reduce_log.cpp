// Applies log records to a reducer: the first of two changes that are based on
// the same version wins, the second one is rejected.
#include <cstdio>

#include "hyssoprail/version/reducer.hpp"

namespace {

hyssoprail::wire::LogRecord accountChange(const char *Operation, double Rate) {
  hyssoprail::wire::LogRecord Record;
  Record.set_operation_id(Operation);
  auto &Object = *Record.mutable_change()->mutable_object();
  Object.set_kind(hyssoprail::wire::OBJECT_KIND_ACCOUNT);
  Object.set_name("acme");
  Object.mutable_account()->set_name("acme");
  Object.mutable_account()->set_rate(Rate);
  Object.mutable_account()->set_burst(2 * Rate);
  return Record;
}

} // namespace

int main() {
  hyssoprail::Reducer Reducer;
  Reducer.apply(1, accountChange("first", 100));
  const auto Second = Reducer.apply(2, accountChange("second", 500));
  std::printf("version %llu, rate %.0f, second change: %s\n",
              static_cast<unsigned long long>(Reducer.version()),
              Reducer.config()->account("acme")->rate(),
              Second.Why.Message.c_str());
  return 0;
}
