#include "shallotlug/net/http_message.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace shallotlug::net {

HttpResponse ErrorResponse(int status,
                           const std::string& error,
                           const std::string& reason,
                           const std::string& message) {
  boost::json::object body;
  body["error"] = error;
  body["reason"] = reason;
  body["message"] = message;
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body) + "\n";
  return response;
}

}  // namespace shallotlug::net
