#include "processes.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

namespace shallotlug::apps {
namespace {

using boost::asio::ip::tcp;

class FreeAddressTest : public testing::Test {
 protected:
  // Binds the address as a program does (`reuse`), or as a process would that
  // looks for a free port.
  boost::system::error_code Bind(bool reuse) {
    boost::system::error_code ec;
    acceptor.open(tcp::v4(), ec);
    acceptor.set_option(tcp::acceptor::reuse_address(reuse), ec);
    const std::size_t colon = address.rfind(':');
    acceptor.bind(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
        ec);
    if (!ec) {
      acceptor.listen(1, ec);
    }
    return ec;
  }

  const std::string address = FreeAddress();
  boost::asio::io_context context;
  tcp::acceptor acceptor{context};
};

// Guards against a program that cannot listen because another process has taken
// its port between the choice of the port and the start of the program.
TEST_F(FreeAddressTest, IsNotFreeForAnotherProcess) {
  EXPECT_EQ(Bind(false), boost::asio::error::address_in_use);
}

TEST_F(FreeAddressTest, CanBeBoundByTheProgramThatItIsFor) {
  EXPECT_FALSE(Bind(true));
}

}  // namespace
}  // namespace shallotlug::apps
