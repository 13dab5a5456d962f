#pragma once

#include <memory>

#include "httpserver.h"

#include "node.h"

namespace plantainswitch {

/// Serves the operators' address: health, readiness, metrics, explanations, status.
void serveOperator(Node &node, const net::HttpRequest &request, net::HttpResponder &reply);

} // namespace plantainswitch
