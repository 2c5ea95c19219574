#pragma once

#include <gtest/gtest.h>
#include <limpetcroft/store.h>

namespace limpet {

/// One implementation of the port under test, with its faults and its time.
class store_rig {
public:
    store_rig() = default;
    virtual ~store_rig() = default;
    store_rig(const store_rig&) = delete;
    store_rig& operator=(const store_rig&) = delete;

    virtual store_port port() = 0;
    virtual void inject(const store_injection& injection) = 0;
    virtual store_state& state() = 0;
    /// Lets time pass until the condition holds. Returns false after a generous limit.
    virtual bool waitUntil(const std::function<bool()>& condition) = 0;

    /// Runs one operation to its end.
    result<store_reply> run(const store_operation& operation, duration timeout = std::chrono::seconds(20));
    result<store_reply> put(const std::string& key, const std::string& value);
    /// Returns the value of a key, or nothing if it is absent.
    std::optional<std::string> valueOf(const std::string& key);
};

enum class rig_kind : std::uint8_t { fake, http };
std::unique_ptr<store_rig> makeRig(rig_kind kind);

} // namespace limpet
