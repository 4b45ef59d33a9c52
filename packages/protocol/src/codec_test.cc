#include "shallotlug/protocol/codec.h"

#include <concepts>
#include <random>
#include <tuple>
#include <type_traits>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include "messages.capnp.h"

namespace shallotlug {
namespace {

// Visits the fields of the plain structs by structured bindings, so that a
// field that is added to a message but not to the codec fails the test.
struct AnyField {
  template <class T>
  operator T() const;  // NOLINT
};

template <class T, std::size_t... kIndex>
constexpr bool HasFields(std::index_sequence<kIndex...> /*fields*/) {
  return requires {
    T{((void)kIndex, AnyField())...};
  };
}

template <class T, std::size_t kCount = 15>
constexpr std::size_t FieldCount() {
  if constexpr (HasFields<T>(std::make_index_sequence<kCount>())) {
    return kCount;
  } else {
    return FieldCount<T, kCount - 1>();
  }
}

template <class T>
auto Fields(T& t) {
  constexpr std::size_t kCount = FieldCount<std::remove_const_t<T>>();
  static_assert(kCount >= 1 && kCount <= 14);
#define SHALLOTLUG_TIE(count, ...)   \
  if constexpr (kCount == (count)) { \
    auto& [__VA_ARGS__] = t;         \
    return std::tie(__VA_ARGS__);    \
  }
  SHALLOTLUG_TIE(1, a)
  SHALLOTLUG_TIE(2, a, b)
  SHALLOTLUG_TIE(3, a, b, c)
  SHALLOTLUG_TIE(4, a, b, c, d)
  SHALLOTLUG_TIE(5, a, b, c, d, e)
  SHALLOTLUG_TIE(6, a, b, c, d, e, f)
  SHALLOTLUG_TIE(7, a, b, c, d, e, f, g)
  SHALLOTLUG_TIE(8, a, b, c, d, e, f, g, h)
  SHALLOTLUG_TIE(9, a, b, c, d, e, f, g, h, i)
  SHALLOTLUG_TIE(10, a, b, c, d, e, f, g, h, i, j)
  SHALLOTLUG_TIE(11, a, b, c, d, e, f, g, h, i, j, k)
  SHALLOTLUG_TIE(12, a, b, c, d, e, f, g, h, i, j, k, l)
  SHALLOTLUG_TIE(13, a, b, c, d, e, f, g, h, i, j, k, l, m)
  SHALLOTLUG_TIE(14, a, b, c, d, e, f, g, h, i, j, k, l, m, n)
#undef SHALLOTLUG_TIE
}

using Random = std::mt19937_64;

int LastOf(Adjacency /*tag*/) {
  return static_cast<int>(Adjacency::kAny);
}
int LastOf(WorkKind /*tag*/) {
  return static_cast<int>(WorkKind::kBatch);
}
int LastOf(StopReason /*tag*/) {
  return static_cast<int>(StopReason::kSuperseded);
}
int LastOf(JobPhase /*tag*/) {
  return static_cast<int>(JobPhase::kLost);
}
int LastOf(AcceleratorUse /*tag*/) {
  return static_cast<int>(AcceleratorUse::kFaulty);
}
int LastOf(RequestResult /*tag*/) {
  return static_cast<int>(RequestResult::kConflict);
}
int LastOf(MemberPhase /*tag*/) {
  return static_cast<int>(MemberPhase::kStopped);
}

template <class T>
void Fill(T& out, Random& random) {
  if constexpr (std::is_same_v<T, bool>) {
    out = !out;
  } else if constexpr (std::is_same_v<T, Incarnation>) {
    out = Incarnation{random()};
  } else if constexpr (std::is_enum_v<T>) {
    out = static_cast<T>(random() % (LastOf(out) + 1));
  } else if constexpr (std::integral<T>) {
    out = static_cast<T>(random());
  } else if constexpr (std::floating_point<T>) {
    out = static_cast<T>(random() % 1000) / 8;
  } else if constexpr (std::is_same_v<T, std::string>) {
    out.resize(1 + random() % 20);
    for (char& c : out) {
      c = static_cast<char>(random());  // Any byte, with NUL.
    }
  } else if constexpr (std::is_same_v<T, Millis>) {
    out = Millis(static_cast<std::int64_t>(random() >> 1));
  } else if constexpr (std::is_same_v<T, PeerTime>) {
    out = PeerTime(Millis(static_cast<std::int64_t>(random() >> 1)));
  } else if constexpr (requires { out.push_back({}); }) {
    out.resize(1 + random() % 3);
    for (auto& it : out) {
      Fill(it, random);
    }
  } else if constexpr (requires { out.fill(0); }) {
    for (auto& it : out) {
      Fill(it, random);
    }
  } else if constexpr (requires { out.value; }) {
    Fill(out.value, random);
  } else {
    std::apply([&random](auto&... it) { (Fill(it, random), ...); },
               Fields(out));
  }
}

template <class T>
bool Same(const T& a, const T& b) {
  if constexpr (requires { a.begin(); }) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const auto& x, const auto& y) { return Same(x, y); });
  } else if constexpr (std::equality_comparable<T>) {
    return a == b;
  } else {
    const auto x = Fields(a);
    const auto y = Fields(b);
    return [&]<std::size_t... kIndex>(std::index_sequence<kIndex...>) {
      return (Same(std::get<kIndex>(x), std::get<kIndex>(y)) && ...);
    }
    (std::make_index_sequence<std::tuple_size_v<decltype(x)>>());
  }
}

bool SameMessage(const Message& a, const Message& b) {
  return a.index() == b.index() &&
         std::visit(
             [&b](const auto& it) {
               return Same(it, std::get<std::decay_t<decltype(it)>>(b));
             },
             a);
}

template <std::size_t... kIndex>
std::vector<Message> MakeAll(Random& random,
                             std::index_sequence<kIndex...> /*kinds*/) {
  std::vector<Message> all;
  const auto add = [&](auto message) {
    Fill(message, random);
    all.emplace_back(std::move(message));
  };
  (add(std::variant_alternative_t<kIndex, Message>()), ...);
  return all;
}

std::vector<Message> MakeAll(Random& random) {
  return MakeAll(random,
                 std::make_index_sequence<std::variant_size_v<Message>>());
}

// Guards against a field that the codec leaves out, swaps or shortens.
TEST(CodecTest, EveryMessageSurvivesARoundTrip) {
  Random random(1);
  for (int n = 0; n < 50; ++n) {
    for (const Message& message : MakeAll(random)) {
      const auto decoded = Decode(Encode(message));
      ASSERT_TRUE(decoded) << decoded.error().message();
      EXPECT_TRUE(SameMessage(message, decoded.value())) << message.index();
    }
  }
}

// Guards against reads out of bounds and against exceptions that escape: a
// truncated message is an error or, by chance, another message.
TEST(CodecTest, SurvivesTruncation) {
  Random random(2);
  for (const Message& message : MakeAll(random)) {
    const std::string bytes = Encode(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      const auto decoded = Decode(std::string_view(bytes).substr(0, size));
      EXPECT_FALSE(decoded) << message.index() << " cut to " << size;
    }
  }
}

// Guards against the same for damaged pointers, lengths and enumerators.
TEST(CodecTest, SurvivesFlippedBits) {
  Random random(3);
  std::size_t rejected = 0;
  for (int n = 0; n < 40; ++n) {
    for (const Message& message : MakeAll(random)) {
      std::string bytes = Encode(message);
      for (int flips = 0; flips < 20; ++flips) {
        char& c = bytes[random() % bytes.size()];
        c = static_cast<char>(static_cast<unsigned char>(c) ^
                              (1U << (random() % 8)));
        const auto decoded = Decode(bytes);
        rejected += decoded ? 0 : 1;
        if (decoded) {
          // Whatever was read is a message that can be written again.
          EXPECT_FALSE(Encode(decoded.value()).empty());
        }
      }
    }
  }
  EXPECT_GT(rejected, 0U);
}

// Guards against memory use out of proportion to the received bytes: a list of
// empty structs takes no space on the wire.
TEST(CodecTest, BoundsWhatASmallMessageCanBecome) {
  Random random(4);
  for (int n = 0; n < 20'000; ++n) {
    std::string bytes(8 * (1 + random() % 16), '\0');
    for (char& c : bytes) {
      c = static_cast<char>(random());
    }
    // A segment table that fits makes the reader reach the root.
    const auto words = static_cast<std::uint32_t>(bytes.size() / 8 - 1);
    bytes.replace(0, 4, 4, '\0');
    bytes.replace(4, 4, reinterpret_cast<const char*>(&words), 4);
    const auto decoded = Decode(bytes);
    if (decoded) {
      EXPECT_LT(Encode(decoded.value()).size(), std::size_t{1} << 20);
    }
  }
}

// Guards against treating a message of a newer version as damage, which would
// close the links between versions.
TEST(CodecTest, TellsANewerMessageFromDamage) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::Envelope>();
  root.initStopJob().setReason(static_cast<wire::StopReason>(99));
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asChars();
  EXPECT_EQ(Decode({bytes.begin(), bytes.size()}).error(),
            CodecError::kUnknownValue);
  // The discriminant is the first field of the root's data section.
  constexpr std::size_t kDiscriminantAt = 16;
  bytes[kDiscriminantAt] = 77;
  EXPECT_EQ(Decode({bytes.begin(), bytes.size()}).error(),
            CodecError::kUnknownMessage);
}

}  // namespace
}  // namespace shallotlug
