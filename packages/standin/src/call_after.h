#ifndef SHALLOTLUG_STANDIN_SRC_CALL_AFTER_H_
#define SHALLOTLUG_STANDIN_SRC_CALL_AFTER_H_

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace shallotlug::standin {

/// @brief Calls back after a delay, or at once when there is none.
void CallAfter(boost::asio::io_context& context,
               boost::asio::steady_timer::duration delay,
               std::function<void()> call);

}  // namespace shallotlug::standin

#endif  // SHALLOTLUG_STANDIN_SRC_CALL_AFTER_H_
