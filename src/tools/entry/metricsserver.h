#pragma once

#include "base/endpoint.h"
#include "metrics/registry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Entry {

/// Serves the metrics over HTTP in the Prometheus text format at /metrics.
class MetricsServer
{
public:
  /// Throws boost::system::system_error if the address cannot be bound.
  MetricsServer(boost::asio::io_context& aContext,
                const Base::Endpoint& aListen,
                const Metrics::Registry& aMetrics);

  void Start();

private:
  void Accept();

  const Metrics::Registry& mMetrics;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace Entry
