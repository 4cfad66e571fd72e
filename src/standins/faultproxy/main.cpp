#include "absl/flags/flag.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/endpoint.h"
#include "connection.h"
#include "program/startup.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <glog/logging.h>

#include <iostream>
#include <map>
#include <memory>
#include <unistd.h>
#include <vector>

ABSL_FLAG(std::vector<std::string>, links, {}, "comma-separated triples NAME=LISTEN=TARGET");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random number generator");

namespace {

using boost::asio::ip::tcp;

tcp::endpoint
ToAsio(const Base::Endpoint& aEndpoint)
{
  return { boost::asio::ip::address_v4(aEndpoint.mAddress), aEndpoint.mPort };
}

/// Listening socket whose connections are forwarded to a target address.
struct Link
{
  Link(boost::asio::io_context& aContext,
       const Base::Endpoint& aListen,
       const Base::Endpoint& aTarget)
    : mAcceptor(aContext, ToAsio(aListen))
    , mTarget(ToAsio(aTarget))
  {
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mTarget;
  FaultProxy::LinkFaults mFaults;
  std::vector<std::weak_ptr<FaultProxy::Connection>> mConnections;
};

/// Forwards TCP connections and reads commands from standard input, one per line:
///   cut LINK | heal LINK | delay LINK MS | reset LINK PROBABILITY | reorder LINK PROBABILITY |
///   drop LINK
/// "cut" partitions a link until "heal"; "drop" closes its open connections. The proxy exits at the
/// end of the input.
class Proxy
{
public:
  Proxy(boost::asio::io_context& aContext, uint64_t aSeed)
    : mContext(aContext)
    , mRandom{ aSeed }
    , mInput(aContext, ::dup(STDIN_FILENO))
  {
  }

  void AddLink(const std::string& aName,
               const Base::Endpoint& aListen,
               const Base::Endpoint& aTarget)
  {
    mLinks[aName] = std::make_unique<Link>(mContext, aListen, aTarget);
    Accept(*mLinks[aName]);
  }

  void ReadCommand()
  {
    boost::asio::async_read_until(
      mInput, mLine, '\n', [this](const boost::system::error_code& aError, size_t /*aSize*/) {
        if (aError) {
          mContext.stop();
          return;
        }
        std::istream stream(&mLine);
        std::string line;
        std::getline(stream, line);
        std::cout << (RunCommand(line) ? "ok" : "bad command") << std::endl;
        ReadCommand();
      });
  }

private:
  void Accept(Link& aLink)
  {
    aLink.mAcceptor.async_accept(
      [this, &aLink](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (!aError && !aLink.mFaults.mIsPartitioned) {
          const auto connection = std::make_shared<FaultProxy::Connection>(
            mContext, std::move(aSocket), aLink.mFaults, mRandom);
          aLink.mConnections.push_back(connection);
          connection->Start(aLink.mTarget);
        }
        Accept(aLink);
      });
  }

  bool RunCommand(const std::string& aLine)
  {
    const std::vector<std::string> arguments = absl::StrSplit(aLine, ' ', absl::SkipEmpty());
    const auto link = arguments.size() < 2 ? mLinks.end() : mLinks.find(arguments[1]);
    if (link == mLinks.end()) {
      return false;
    }
    Link& target = *link->second;
    double value = 0;
    const bool hasValue = arguments.size() == 3 && absl::SimpleAtod(arguments[2], &value);
    if (arguments[0] == "cut" || arguments[0] == "heal") {
      target.mFaults.mIsPartitioned = arguments[0] == "cut";
    } else if (arguments[0] == "drop") {
      for (const auto& connection : target.mConnections) {
        if (const auto open = connection.lock()) {
          open->Close();
        }
      }
      target.mConnections.clear();
    } else if (arguments[0] == "delay" && hasValue) {
      target.mFaults.mDelay = std::chrono::milliseconds(static_cast<int64_t>(value));
    } else if (arguments[0] == "reset" && hasValue) {
      target.mFaults.mResetProbability = value;
    } else if (arguments[0] == "reorder" && hasValue) {
      target.mFaults.mReorderProbability = value;
    } else {
      return false;
    }
    return true;
  }

  boost::asio::io_context& mContext;
  Base::RandomSource mRandom;
  std::map<std::string, std::unique_ptr<Link>> mLinks;
  boost::asio::posix::stream_descriptor mInput;
  boost::asio::streambuf mLine;
};

absl::Status
AddLinks(Proxy& aProxy)
{
  for (const std::string& text : absl::GetFlag(FLAGS_links)) {
    const std::vector<std::string> parts = absl::StrSplit(text, '=');
    if (parts.size() != 3) {
      return absl::InvalidArgumentError(
        absl::StrCat("--links: \"", text, "\" is not a triple NAME=LISTEN=TARGET"));
    }
    const absl::StatusOr<Base::Endpoint> listen = Base::ParseEndpoint(parts[1]);
    const absl::StatusOr<Base::Endpoint> target = Base::ParseEndpoint(parts[2]);
    if (!listen.ok() || !target.ok()) {
      return listen.ok() ? target.status() : listen.status();
    }
    aProxy.AddLink(parts[0], *listen, *target);
  }
  return absl::OkStatus();
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc,
    aArgv,
    "Stand-in for a faulty network between processes that talk over TCP. Commands on standard "
    "input:\n"
    "cut LINK, heal LINK, delay LINK MS, reset LINK CHANCE, reorder LINK CHANCE, drop LINK.");
  try {
    boost::asio::io_context context{ 1 };
    Proxy proxy(context, absl::GetFlag(FLAGS_seed));
    const absl::Status added = AddLinks(proxy);
    if (!added.ok()) {
      std::cerr << added.message() << std::endl;
      return Program::kExitBadSettings;
    }
    proxy.ReadCommand();
    context.run();
    return Program::kExitOk;
  } catch (const std::exception& error) {
    LOG(ERROR) << "[faultproxy] " << error.what() << ".";
    return Program::kExitFailure;
  }
}
