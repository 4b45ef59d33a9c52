#include "caller_connection.h"

#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace shallotlug::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {
      asio::ip::make_address(address.substr(0, colon)),
      static_cast<asio::ip::port_type>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

struct CallerConnection::Impl : std::enable_shared_from_this<Impl> {
  explicit Impl(asio::io_context& io) : context(io) {}

  void Write();
  void Read();
  void Finish(CallerOutcome outcome);

  asio::io_context& context;
  std::optional<beast::tcp_stream> stream;
  std::string connected_to;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
  Handler handler;
};

void CallerConnection::Impl::Write() {
  http::async_write(*stream, request,
                    [self = shared_from_this()](error_code ec, std::size_t) {
                      if (ec) {
                        self->stream.reset();
                        self->Finish({});
                      } else {
                        self->Read();
                      }
                    });
}

void CallerConnection::Impl::Read() {
  response = {};
  http::async_read(*stream, buffer, response,
                   [self = shared_from_this()](error_code ec, std::size_t) {
                     CallerOutcome outcome;
                     if (!ec) {
                       outcome.status =
                           static_cast<int>(self->response.result_int());
                       outcome.body = std::move(self->response.body());
                     }
                     if (ec || !self->response.keep_alive()) {
                       self->stream.reset();
                     }
                     self->Finish(std::move(outcome));
                   });
}

void CallerConnection::Impl::Finish(CallerOutcome outcome) {
  const Handler call = std::exchange(handler, nullptr);
  if (call) {
    call(outcome);
  }
}

CallerConnection::CallerConnection(asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}

CallerConnection::~CallerConnection() {
  impl_->handler = nullptr;
  if (impl_->stream) {
    impl_->stream->cancel();
  }
}

void CallerConnection::Send(const CallerRequest& request, Handler handler) {
  Impl& it = *impl_;
  it.handler = std::move(handler);
  it.request = {};
  it.request.version(11);
  it.request.method_string(request.method);
  it.request.target(request.target);
  it.request.set(http::field::host, request.host);
  it.request.body() = request.body;
  it.request.prepare_payload();
  if (it.stream && it.connected_to == request.address) {
    it.stream->expires_after(request.timeout);
    it.Write();
    return;
  }
  it.stream.emplace(it.context);
  it.buffer.clear();
  it.connected_to = request.address;
  it.stream->expires_after(request.timeout);
  it.stream->async_connect(ParseAddress(request.address),
                           [self = impl_](error_code ec) {
                             if (ec) {
                               self->stream.reset();
                               CallerOutcome outcome;
                               outcome.not_sent = true;
                               self->Finish(std::move(outcome));
                             } else {
                               self->Write();
                             }
                           });
}

bool CallerConnection::Busy() const {
  return impl_->handler != nullptr;
}

}  // namespace shallotlug::soak
