#include "fault.h"

#include <nlohmann/json.hpp>

namespace limpet {

void setFault(store_fault_state& faults, const store_injection& injection)
{
    switch (injection.fault) {
    case store_fault::down:
        faults.down = injection.active;
        break;
    case store_fault::slow:
        faults.delay = injection.active ? injection.amount : duration(0);
        break;
    case store_fault::requestLost:
        faults.requestsToLose = injection.count;
        break;
    case store_fault::replyLost:
        faults.repliesToLose = injection.count;
        break;
    case store_fault::watchBehind:
        faults.watchesHeld = injection.active;
        break;
    case store_fault::clockJump:
        faults.clockOffset += injection.amount;
        break;
    case store_fault::watchDropped:
    case store_fault::compaction:
    case store_fault::copy:
    case store_fault::restore:
        break;
    }
}

call_fate takeFate(store_fault_state& faults, const store_operation& operation)
{
    if (faults.down) {
        return call_fate::refused;
    }
    if (!isWrite(operation)) {
        return call_fate::answered;
    }
    if (faults.requestsToLose > 0) {
        --faults.requestsToLose;
        return call_fate::requestLost;
    }
    if (faults.repliesToLose > 0) {
        --faults.repliesToLose;
        return call_fate::replyLost;
    }
    return call_fate::answered;
}

void count(store_counters& counters, const store_operation& operation)
{
    if (std::holds_alternative<store_get>(operation)) {
        ++counters.reads;
    } else if (std::holds_alternative<store_txn>(operation)) {
        ++counters.writes;
    } else {
        ++counters.leaseCalls;
    }
}

error missingReply(const store_operation& operation, const std::string& what)
{
    if (isWrite(operation)) {
        return { error_kind::unknownOutcome, what + "; the write may have taken effect or may still take effect" };
    }
    return { error_kind::unavailable, what + "; try again later" };
}

result<std::vector<store_injection>> parseInjections(const std::string& body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return fail(error_kind::malformed, "the faults are not a JSON object; send one such as {\"down\":true}");
    }
    std::vector<store_injection> injections;
    for (const auto& [name, value] : document.items()) {
        const bool isCount = value.is_number_unsigned();
        const auto amount = std::chrono::milliseconds(isCount ? value.get<std::uint32_t>() : 0);
        const unsigned count = isCount ? value.get<std::uint32_t>() : 0;
        const bool active = value.is_boolean() && value.get<bool>();
        if (name == "down" && value.is_boolean()) {
            injections.push_back({ .fault = store_fault::down, .active = active });
        } else if (name == "delay_ms" && isCount) {
            injections.push_back({ .fault = store_fault::slow, .amount = amount });
        } else if (name == "lose_requests" && isCount) {
            injections.push_back({ .fault = store_fault::requestLost, .count = count });
        } else if (name == "lose_replies" && isCount) {
            injections.push_back({ .fault = store_fault::replyLost, .count = count });
        } else if (name == "drop_watches" && active) {
            injections.push_back({ .fault = store_fault::watchDropped });
        } else if (name == "hold_watches" && value.is_boolean()) {
            injections.push_back({ .fault = store_fault::watchBehind, .active = active });
        } else if (name == "compact" && active) {
            injections.push_back({ .fault = store_fault::compaction });
        } else if (name == "copy" && active) {
            injections.push_back({ .fault = store_fault::copy });
        } else if (name == "restore" && active) {
            injections.push_back({ .fault = store_fault::restore });
        } else if (name == "clock_jump_ms" && isCount) {
            injections.push_back({ .fault = store_fault::clockJump, .amount = amount });
        } else {
            return fail(
                error_kind::invalidArgument, "fault \"" + name + "\" does not exist or has a value of the wrong type");
        }
    }
    return injections;
}

} // namespace limpet
