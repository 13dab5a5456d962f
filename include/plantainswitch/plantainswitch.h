#pragma once

/// Umbrella header of the plantainswitch library.

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/error.h"
#include "plantainswitch/base/hash.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/catalogue/entry.h"
#include "plantainswitch/catalogue/parse.h"
#include "plantainswitch/catalogue/table.h"
#include "plantainswitch/limits/shares.h"
#include "plantainswitch/limits/table.h"
#include "plantainswitch/membership/members.h"
#include "plantainswitch/membership/vm.h"
#include "plantainswitch/observe/event.h"
#include "plantainswitch/observe/explain.h"
#include "plantainswitch/observe/metrics.h"
#include "plantainswitch/placement/keeper.h"
#include "plantainswitch/placement/messages.h"
#include "plantainswitch/placement/plan.h"
#include "plantainswitch/placement/rendezvous.h"
#include "plantainswitch/upstreams/sse.h"
#include "plantainswitch/upstreams/upstreams.h"
