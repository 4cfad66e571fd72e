#include "admission/workqueue.h"

#include <algorithm>

namespace Admission {

namespace {

// Resets a positive deficit, so that an idle queue does not accumulate slot time. A negative one is
// kept, so that it cannot be cleared by emptying the queue.
void
DiscardCredit(double& aDeficit)
{
  aDeficit = std::min(aDeficit, 0.0);
}

void
OnRemoved(KindQueue& aKind, ClientQueue& aClient)
{
  --aKind.mQueued;
  if (aClient.mItems.empty()) {
    DiscardCredit(aClient.mDeficit);
  }
  if (aKind.mQueued == 0) {
    DiscardCredit(aKind.mDeficit);
  }
}

} // namespace

void
Push(KindQueue& aKind, const std::string& aClient, const WorkItem& aItem, Base::TimePoint aNow)
{
  ClientQueue& client = aKind.mClients[aClient];
  if (client.mItems.empty()) {
    client.mWaitingSince = aNow;
  }
  if (aKind.mQueued == 0) {
    aKind.mWaitingSince = aNow;
  }
  client.mItems.push_back(aItem);
  ++aKind.mQueued;
}

WorkItem
Pop(KindQueue& aKind, ClientQueue& aClient, Base::TimePoint aNow)
{
  WorkItem item = std::move(aClient.mItems.front());
  aClient.mItems.pop_front();
  aClient.mWaitingSince = aNow;
  aKind.mWaitingSince = aNow;
  OnRemoved(aKind, aClient);
  return item;
}

bool
Remove(KindQueue& aKind, uint64_t aId)
{
  for (auto& [name, client] : aKind.mClients) {
    const auto found = std::find_if(client.mItems.begin(),
                                    client.mItems.end(),
                                    [aId](const WorkItem& aItem) { return aItem.mId == aId; });
    if (found != client.mItems.end()) {
      client.mItems.erase(found);
      OnRemoved(aKind, client);
      return true;
    }
  }
  return false;
}

std::vector<WorkItem>
RemoveExpired(KindQueue& aKind, Base::TimePoint aNow)
{
  std::vector<WorkItem> expired;
  for (auto& [name, client] : aKind.mClients) {
    auto& items = client.mItems;
    for (auto item = items.begin(); item != items.end();) {
      if (item->mDeadline > aNow) {
        ++item;
        continue;
      }
      expired.push_back(std::move(*item));
      item = items.erase(item);
      OnRemoved(aKind, client);
    }
  }
  return expired;
}

} // namespace Admission
