// Runs a target over files and folders of inputs without libFuzzer, so that
// every compiler and processor can replay them.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "support.hpp"

namespace {

std::vector<std::filesystem::path> inputFiles(int ArgCount, char **Args) {
  std::vector<std::filesystem::path> Out;
  for (int I = 1; I < ArgCount; ++I) {
    if (!std::filesystem::is_directory(Args[I])) {
      Out.emplace_back(Args[I]);
      continue;
    }
    for (const auto &Entry : std::filesystem::directory_iterator(Args[I]))
      if (Entry.is_regular_file())
        Out.push_back(Entry.path());
  }
  std::sort(Out.begin(), Out.end());
  return Out;
}

bool replay(const std::filesystem::path &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    std::fprintf(stderr, "cannot read the input %s\n", Path.c_str());
    return false;
  }
  const std::string Input{std::istreambuf_iterator<char>(File), {}};
  std::printf("%s\n", Path.c_str());
  std::fflush(stdout); // the last line names the input that ends the process
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(Input.data()),
                         Input.size());
  return true;
}

} // namespace

int main(int ArgCount, char **Args) {
  const auto Files = inputFiles(ArgCount, Args);
  if (Files.empty()) {
    std::fprintf(stderr, "name at least one input or folder of inputs\n");
    return 1;
  }
  return std::all_of(Files.begin(), Files.end(), replay) ? 0 : 1;
}
