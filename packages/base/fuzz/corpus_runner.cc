// Runs a libFuzzer target without libFuzzer, for compilers that lack it and for
// the normal tests. Usage:
//   X_fuzz FOLDER MUTATIONS     every file of the folder, and mutations of it
//   X_fuzz --write FILE NUMBER  prints a mutation of a file; 0: the file itself

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace {

// A fixed seed gives the same verdict on every run.
constexpr std::uint64_t kSeed = 20261204;
constexpr int kMaxEdits = 4;
constexpr std::size_t kMaxRun = 16;

// Bytes that parsers treat specially.
constexpr std::string_view kSpecial =
    std::string_view("\0\x01\x7f\x80\xff\"\\{}[]:,.-+eE019 \n\t#%/=", 26);

// Read by the signal handler, which may not format.
std::array<char, 512> current_input;
volatile std::size_t current_length = 0;

void SetCurrentInput(const std::string& file, unsigned number) {
  const int n =
      std::snprintf(current_input.data(), current_input.size(),
                    "failing input: --write %s %u\n", file.c_str(), number);
  current_length =
      std::min(static_cast<std::size_t>(std::max(n, 0)), current_input.size());
}

extern "C" void OnFailure(int signal) {
  if (write(STDERR_FILENO, current_input.data(), current_length) < 0) {
    _exit(2);
  }
  _exit(128 + signal);
}

void Edit(std::string& text, std::mt19937_64& random) {
  const std::size_t at = random() % (text.size() + 1);
  const std::size_t count =
      std::min<std::size_t>(1 + random() % kMaxRun, text.size() - at);
  switch (random() % 6) {
    case 0:
      text.erase(at, count);
      break;
    case 1:
      text.insert(at, 1, static_cast<char>(random()));
      break;
    case 2:
      text.insert(at, 1, kSpecial[random() % kSpecial.size()]);
      break;
    case 3:
      text.insert(random() % (text.size() + 1), text.substr(at, count));
      break;
    case 4:
      if (at < text.size()) {
        text[at] = static_cast<char>(text[at] ^ (1 << (random() % 8)));
      }
      break;
    default:
      if (at < text.size()) {
        text[at] = kSpecial[random() % kSpecial.size()];
      }
  }
}

std::string Mutate(std::string text, unsigned number) {
  if (number == 0) {
    return text;
  }
  std::mt19937_64 random(kSeed + number);
  for (std::uint64_t n = 1 + random() % kMaxEdits; n > 0; --n) {
    Edit(text, random);
  }
  return text;
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void RunInput(const std::string& text) {
  // A block of exactly this size lets the sanitizers see reads past the end.
  const std::vector<std::uint8_t> bytes(text.begin(), text.end());
  LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
}

int RunFolder(const std::string& folder, unsigned mutations) {
  std::vector<std::string> files;
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    files.push_back(it.path().string());
  }
  if (ec || files.empty()) {
    std::cerr << folder << ": no corpus\n";
    return 1;
  }
  std::sort(files.begin(), files.end());
  for (const std::string& file : files) {
    const std::string text = ReadFile(file);
    for (unsigned n = 0; n <= mutations; ++n) {
      SetCurrentInput(file, n);
      RunInput(Mutate(text, n));
    }
  }
  std::cout << files.size() << " files, " << mutations
            << " mutations of each\n";
  return 0;
}

bool ParseNumber(std::string_view text, unsigned& number) {
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc() && end == text.data() + text.size();
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  unsigned number = 0;
  if (args.size() == 3 && args[0] == "--write" &&
      ParseNumber(args[2], number)) {
    std::cout << Mutate(ReadFile(args[1]), number);
    return 0;
  }
  if (args.size() != 2 || !ParseNumber(args[1], number)) {
    std::cerr << "usage: FOLDER MUTATIONS | --write FILE NUMBER\n";
    return 2;
  }
  std::signal(SIGABRT, OnFailure);
  return RunFolder(args[0], number);
}
