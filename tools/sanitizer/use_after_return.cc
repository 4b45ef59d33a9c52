// Reads a local variable of a function that has returned, after many correct
// calls. tools/test-sanitized expects that the address sanitizer reports it:
// a compiler that does not release the frames of its calls misses it.
#include <cstddef>
#include <cstdio>
#include <vector>

namespace {

constexpr std::size_t kValues = 40;
constexpr int kCalls = 100'000;

[[gnu::noinline]] volatile int* ReturnLocal(int first) {
  volatile int values[kValues];
  for (std::size_t n = 0; n < kValues; ++n) {
    values[n] = first + static_cast<int>(n);
  }
  volatile int* volatile it = values;
  return it;
}

}  // namespace

int main() {
  std::vector<volatile int*> last(1);
  for (int n = 0; n < kCalls; ++n) {
    last[0] = ReturnLocal(n);
  }
  std::printf("not found: %d\n", *last[0]);
}
