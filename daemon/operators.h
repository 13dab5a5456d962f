#pragma once

#include <memory>

#include "httpserver.h"

#include "node.h"

namespace plantainswitch {

/// Handles a request to the operators' address: /healthz, /readyz, /metrics, /explain or /status.
void serveOperator(Node &node, const net::HttpRequest &request, net::HttpResponder &reply);

} // namespace plantainswitch
