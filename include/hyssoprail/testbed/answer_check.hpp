#ifndef HYSSOPRAIL_TESTBED_ANSWER_CHECK_HPP
#define HYSSOPRAIL_TESTBED_ANSWER_CHECK_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoprail::testbed {

/// Reads the server-sent events of a completion as they arrive and compares
/// the text with the reference answer of the stand-in engines.
class AnswerCheck {
public:
  AnswerCheck(std::string_view Prompt, std::uint32_t MaxTokens);

  /// Adds received bytes; returns the number of text events they completed.
  unsigned add(std::string_view Data);

  /// True after the event that ends a whole answer.
  bool ended() const { return Done; }

  /// True if exactly the reference tokens were received.
  bool correct() const { return Text == Expected; }

  /// Code of an error event inside the stream, or "".
  const std::string &errorCode() const { return ErrorCode; }

  /// Tokens of the reference answer.
  std::uint32_t expectedTokens() const { return Tokens; }

private:
  bool readEvent(std::string_view Event);

  std::string Pending;
  std::string Text;
  std::string Expected;
  std::string ErrorCode;
  std::uint32_t Tokens = 0;
  bool Done = false;
};

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_ANSWER_CHECK_HPP
