#include "call_after.h"

#include <memory>
#include <utility>

namespace shallotlug::standin {

namespace asio = boost::asio;

void CallAfter(asio::io_context& context,
               asio::steady_timer::duration delay,
               std::function<void()> call) {
  if (delay <= asio::steady_timer::duration::zero()) {
    call();
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(context, delay);
  timer->async_wait(
      [timer, call = std::move(call)](const boost::system::error_code& ec) {
        if (!ec) {
          call();
        }
      });
}

}  // namespace shallotlug::standin
