#ifndef HYSSOPRAIL_CORE_DEFERRED_WORK_HPP
#define HYSSOPRAIL_CORE_DEFERRED_WORK_HPP

#include <chrono>
#include <deque>
#include <memory>
#include <utility>

#include <boost/asio/execution.hpp>
#include <boost/asio/execution_context.hpp>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Handlers that yield to the others of an event loop. They wait in order of
/// arrival until the loop, which has to call runFor(), has time for them. A
/// service of the context, used on the thread of its event loop only.
///
/// \code
///   auto &Work = boost::asio::use_service<DeferredWork>(Context);
/// \endcode
///
/// Load pattern: more requests of callers than the processor can handle, while
/// a configuration changes.
class DeferredWork : public boost::asio::execution_context::service {
public:
  static inline boost::asio::execution_context::id id;

  /// Executor for asynchronous operations whose handlers are deferred.
  class Executor {
  public:
    explicit Executor(DeferredWork &Work) : Work(&Work) {}

    template <typename Handler> void execute(Handler Run) const {
      if (!Work->HasShutDown)
        Work->Queue.push_back(
            {std::make_unique<Task<Handler>>(std::move(Run)), now()});
    }

    boost::asio::execution_context &
    query(boost::asio::execution::context_t) const noexcept {
      return Work->context();
    }
    static constexpr boost::asio::execution::blocking_t
    query(boost::asio::execution::blocking_t) noexcept {
      return boost::asio::execution::blocking.never;
    }
    Executor
    require(boost::asio::execution::blocking_t::never_t) const noexcept {
      return *this;
    }

    friend bool operator==(const Executor &A, const Executor &B) noexcept {
      return A.Work == B.Work;
    }
    friend bool operator!=(const Executor &A, const Executor &B) noexcept {
      return !(A == B);
    }

  private:
    DeferredWork *Work;
  };

  explicit DeferredWork(boost::asio::execution_context &Context)
      : service(Context) {}

  Executor executor() { return Executor(*this); }

  bool empty() const { return Queue.empty(); }

  /// Runs the handlers that have waited longest, until \p Slice is over or none
  /// is left; at least one if any waits. Returns the time taken.
  Duration runFor(Duration Slice) {
    const TimePoint Start = now();
    Duration Taken{};
    while (!Queue.empty() && Taken < Slice) {
      runOne();
      Taken = now() - Start;
    }
    return Taken;
  }

  /// How long the handler that runs now has waited since it was ready; 0 if
  /// none runs.
  Duration currentWait() const { return CurrentWait; }

private:
  struct AnyTask {
    virtual ~AnyTask() = default;
    virtual void run() = 0;
  };

  template <typename Handler> struct Task : AnyTask {
    explicit Task(Handler Run) : Run(std::move(Run)) {}
    void run() override { std::move(Run)(); }
    Handler Run;
  };

  struct Waiting {
    std::unique_ptr<AnyTask> Run;
    TimePoint ReadyAt;
  };

  /// Resets the wait also if the handler throws.
  struct WaitScope {
    explicit WaitScope(DeferredWork &Work, Duration Wait) : Work(Work) {
      Work.CurrentWait = Wait;
    }
    WaitScope(const WaitScope &) = delete;
    WaitScope &operator=(const WaitScope &) = delete;
    ~WaitScope() { Work.CurrentWait = {}; }

    DeferredWork &Work;
  };

  static TimePoint now() { return std::chrono::steady_clock::now(); }

  void runOne() {
    const Waiting Next = std::move(Queue.front());
    Queue.pop_front();
    const WaitScope Scope(*this, now() - Next.ReadyAt);
    Next.Run->run();
  }

  /// Handlers that are destroyed may have others executed.
  void shutdown() override {
    HasShutDown = true;
    const auto Dropped = std::exchange(Queue, {});
  }

  std::deque<Waiting> Queue;
  Duration CurrentWait{};
  bool HasShutDown = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_DEFERRED_WORK_HPP
