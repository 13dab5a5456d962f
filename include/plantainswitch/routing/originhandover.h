#pragma once

#include <map>
#include <vector>

#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// \returns the origins that this router passes on to \a joining, a router that has started or
/// comes back: those of its own callers' streams, and its part of those whose router has failed.
/// Without them no router would know a stream any more once all of them were restarted in turn.
/// \param own this router's process
[[nodiscard]] std::vector<StreamOrigin> originsForJoining(const StreamOriginTable &origins,
                                                          const RouterContacts &contacts,
                                                          const Endpoint &joining,
                                                          RouterProcess own, TimePoint now);

/// \returns the origins of its own callers' streams that this router passes on when it stops, by
/// receiver.
[[nodiscard]] std::map<Endpoint, std::vector<StreamOrigin>>
originsAtStop(const StreamOriginTable &origins, const RouterContacts &contacts, RouterProcess own,
              TimePoint now);

} // namespace plantainswitch
