#ifndef SHALLOTLUG_NET_REQUEST_MEMORY_H_
#define SHALLOTLUG_NET_REQUEST_MEMORY_H_

#include <cstddef>
#include <functional>
#include <memory>

namespace shallotlug::net {

/// @brief What the memory of a process holds for requests, by default.
inline constexpr std::size_t kDefaultRequestBytes = 16 << 20;

/// @brief Limits the bytes that the connections of a process hold for requests
/// and responses. One is shared by all listeners of the process.
///
/// When the limit is exceeded, requests that are not complete give way: of
/// those that hold at least their share, the one that was begun first. A client
/// that holds much for long loses it to one that sends its request at once.
class RequestMemory {
 public:
  explicit RequestMemory(std::size_t limit_bytes = kDefaultRequestBytes);
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;
  ~RequestMemory();

  /// @brief The bytes of one connection; released at the end of its life.
  class Share {
   public:
    Share();
    Share(Share&&) noexcept;
    Share& operator=(Share&&) noexcept;
    ~Share();

    /// @brief Sets what the connection holds now.
    /// @return Whether it may go on; it has to give its bytes up otherwise.
    bool Hold(std::size_t bytes);

    /// @brief The request is complete: it no longer gives way to others.
    void Complete();

    /// @brief Holds nothing until the next request begins.
    void Release();

   private:
    friend class RequestMemory;
    struct Impl;
    explicit Share(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
  };

  /// @param give_way Called when the connection has to give its bytes up to
  /// another one. It must not destroy the share.
  Share Open(std::function<void()> give_way);

  std::size_t Held() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_REQUEST_MEMORY_H_
