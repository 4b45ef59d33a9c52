#include "shallotlug/net/request_memory.h"

#include <list>
#include <utility>

namespace shallotlug::net {

struct RequestMemory::Impl {
  struct Row {
    std::size_t bytes = 0;
    std::function<void()> give_way;
  };
  using Rows = std::list<Row>;

  /// @brief The first request, of those that hold at least the mean.
  Rows::iterator FindVictim() {
    std::size_t sum = 0;
    for (const Row& it : incomplete) {
      sum += it.bytes;
    }
    auto victim = incomplete.begin();
    while (victim != incomplete.end() &&
           (victim->bytes == 0 || victim->bytes * incomplete.size() < sum)) {
      ++victim;
    }
    return victim;
  }

  void Set(Row& row, std::size_t bytes) {
    held = held - row.bytes + bytes;
    row.bytes = bytes;
  }

  std::size_t limit = 0;
  std::size_t held = 0;
  Rows incomplete;  ///< Requests that are being read, in order of their begin.
  Rows others;      ///< Complete requests, and connections without one.
};

struct RequestMemory::Share::Impl {
  std::shared_ptr<RequestMemory::Impl> memory;
  RequestMemory::Impl::Rows::iterator row;
  bool reading = false;  ///< Its row is among the incomplete ones.

  void MoveTo(bool to_reading) {
    if (reading != to_reading) {
      auto& from = reading ? memory->incomplete : memory->others;
      auto& to = to_reading ? memory->incomplete : memory->others;
      to.splice(to.end(), from, row);
      reading = to_reading;
    }
  }
};

RequestMemory::RequestMemory(std::size_t limit_bytes)
    : impl_(std::make_shared<Impl>()) {
  impl_->limit = limit_bytes;
}
RequestMemory::~RequestMemory() = default;

RequestMemory::Share RequestMemory::Open(std::function<void()> give_way) {
  auto share = std::make_unique<Share::Impl>();
  share->memory = impl_;
  share->row =
      impl_->others.insert(impl_->others.end(), {0, std::move(give_way)});
  return Share(std::move(share));
}

std::size_t RequestMemory::Held() const {
  return impl_->held;
}

RequestMemory::Share::Share() = default;
RequestMemory::Share::Share(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
RequestMemory::Share::Share(Share&&) noexcept = default;
RequestMemory::Share& RequestMemory::Share::operator=(Share&&) noexcept =
    default;

RequestMemory::Share::~Share() {
  if (impl_) {
    impl_->memory->Set(*impl_->row, 0);
    (impl_->reading ? impl_->memory->incomplete : impl_->memory->others)
        .erase(impl_->row);
  }
}

bool RequestMemory::Share::Hold(std::size_t bytes) {
  RequestMemory::Impl& memory = *impl_->memory;
  impl_->MoveTo(true);
  memory.Set(*impl_->row, bytes);
  while (memory.held > memory.limit) {
    const auto victim = memory.FindVictim();
    if (victim == memory.incomplete.end() || victim == impl_->row) {
      Release();
      return false;
    }
    // It may only be marked by its owner; its bytes count as given up.
    memory.Set(*victim, 0);
    victim->give_way();
  }
  return true;
}

void RequestMemory::Share::Complete() {
  impl_->MoveTo(false);
}

void RequestMemory::Share::Release() {
  impl_->memory->Set(*impl_->row, 0);
  impl_->MoveTo(false);
}

}  // namespace shallotlug::net
