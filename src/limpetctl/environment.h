#pragma once

#include "ctl.h"

namespace limpet {

/// The real environment: the store and the nodes over HTTP, the system's clock and random numbers. It must outlive
/// what makeEnvironment returns.
class system_environment {
public:
    explicit system_environment(const socket_address& store);
    ctl_environment make();

private:
    http_store m_store;
};

/// Returns the content of a file.
result<std::string> readFile(const std::string& name);

} // namespace limpet
