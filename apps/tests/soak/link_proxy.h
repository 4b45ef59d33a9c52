#ifndef SHALLOTLUG_APPS_TESTS_SOAK_LINK_PROXY_H_
#define SHALLOTLUG_APPS_TESTS_SOAK_LINK_PROXY_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "shallotlug/base/clock.h"

namespace shallotlug::soak {

/// @brief Forwards the connections of one link on loopback, and harms them.
class LinkProxy {
 public:
  LinkProxy(boost::asio::io_context& context, const std::string& to);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  const std::string& Address() const;

  /// @brief Holds up what is sent in these directions, until told otherwise.
  void Block(bool requests, bool answers);
  /// @brief Delays every chunk by this time.
  void Delay(Millis delay);
  /// @brief Closes the open connections with a reset.
  void Reset();
  /// @brief While down, the open connections are reset and new ones refused.
  void SetDown(bool down);
  /// @brief The open connections forward nothing any more; new ones work.
  void SilenceOpen();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shallotlug::soak

#endif  // SHALLOTLUG_APPS_TESTS_SOAK_LINK_PROXY_H_
