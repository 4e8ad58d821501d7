#include "hyssoprail/core/utf8.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {

// Guards against text that a JSON or protobuf library rejects as a whole.
TEST_CASE("bytes that are not UTF-8 are escaped and others kept") {
  CHECK(escapeNonUtf8("r\xfc"
                      "1") == "r\\xfc1");
  const std::string Valid = "a\x7f \xc3\xbc \xe2\x82\xac \xf0\x9f\x9a\x82";
  CHECK(escapeNonUtf8(Valid) == Valid);
  CHECK(escapeNonUtf8("\xc0\x80") == "\\xc0\\x80");          // overlong
  CHECK(escapeNonUtf8("\xed\xa0\x80") == "\\xed\\xa0\\x80"); // surrogate
  CHECK(escapeNonUtf8("\xf4\x90\x80\x80") == "\\xf4\\x90\\x80\\x80");
  CHECK(escapeNonUtf8("\xe2\x82") == "\\xe2\\x82"); // cut off
  CHECK(escapeNonUtf8("").empty());
}

} // namespace hyssoprail
