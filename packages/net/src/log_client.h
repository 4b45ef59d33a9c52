#ifndef SHALLOTLUG_NET_SRC_LOG_CLIENT_H_
#define SHALLOTLUG_NET_SRC_LOG_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "shallotlug/base/clock.h"
#include "shallotlug/net/http_client.h"
#include "shallotlug/stream/log_io.h"

namespace shallotlug::net {

struct LogClientOptions {
  std::string address;
  /// The log service holds a read without new records for this long. Below the
  /// entry's time limit for the log, so that a quiet stream does not look down.
  Millis read_wait{500};
  Millis read_timeout{2'000};
  Millis append_timeout{2'000};
  std::size_t read_records = 1'000;
};

struct LogClientHandlers {
  std::function<void(stream::LogReadResult)> on_read;
  std::function<void(stream::LogAppendResult)> on_append;
};

/// @brief Client of the log service. Each stream has one read and one append in
/// flight; further appends of the stream wait for their turn.
class LogClient {
 public:
  LogClient(boost::asio::io_context& context,
            LogClientOptions options,
            LogClientHandlers handlers);

  void Read(const stream::LogRead& read);
  void Append(stream::LogAppend append);

 private:
  struct QueuedAppend {
    stream::LogAppend append;
    std::chrono::steady_clock::time_point queued;
  };

  struct Stream {
    explicit Stream(boost::asio::io_context& context)
        : reader(context), appender(context) {}
    HttpClient reader;
    HttpClient appender;
    std::deque<QueuedAppend> appends;
  };

  Stream& StreamOf(const std::string& name);
  void SendAppend(Stream& stream);

  boost::asio::io_context& context_;
  LogClientOptions options_;
  LogClientHandlers handlers_;
  std::map<std::string, Stream> streams_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_SRC_LOG_CLIENT_H_
