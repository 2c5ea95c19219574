// Simulated backend servers of the test network.

#include "network_test.h"

namespace limpet {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadGateway = 502;

    http_answer answerOf(const call_backend& call, const std::string& server)
    {
        http_answer answer;
        answer.status = statusOk;
        answer.body = makeBytes(printAnswer({ headerValue(call.content, "Test-Request"),
            headerValue(call.content, "Limpet-Request-Id"), call.content.path, server, {} }));
        return answer;
    }

} // namespace

void test_network::receiveBackendCall(std::size_t index, const call_backend& call)
{
    auto& vm = m_vms[index];
    if (!vm.backendUp) {
        schedule(m_now, [this, index, attempt = call.attempt] {
            runOnVm(index, [this, index, attempt] {
                deliver(index, backend_result { attempt, tl::unexpected(backend_failure::notSent) });
            });
        });
        return;
    }
    m_history.push_back(run_started { now(), vm.name, vm.service, headerValue(call.content, "Test-Request"),
        headerValue(call.content, "Limpet-Request-Id"), toString(call.attempt), call.content.method, call.content.path,
        !headerValue(call.content, "Authorization").empty() });
    vm.running[call.attempt] = call;
    if (vm.busySlots >= m_options.slots) {
        vm.backendQueue.push_back(call);
        return;
    }
    startBackendCall(index, call);
}

/// Occupies a slot of the backend server for the service time. The backend server continues when its node is paused
/// or killed.
void test_network::startBackendCall(std::size_t index, const call_backend& call)
{
    auto& vm = m_vms[index];
    ++vm.busySlots;
    const auto time = duration(static_cast<duration::rep>(
        static_cast<double>(m_random.exponential(m_options.serviceTime).count()) * vm.serviceTimeFactor));
    schedule(m_now + time, [this, index, call] {
        auto& owner = m_vms[index];
        --owner.busySlots;
        if (m_options.childCalls > 0 && owner.service == m_options.services.front()
            && owner.running.count(call.attempt) != 0)
            sendChildCalls(index, call);
        else
            finishBackendCall(index, call.attempt, answerOf(call, owner.name), run_outcome::finished);
        while (!owner.backendQueue.empty() && owner.busySlots < m_options.slots) {
            const auto next = owner.backendQueue.front();
            owner.backendQueue.pop_front();
            if (owner.running.count(next.attempt) != 0)
                startBackendCall(index, next);
        }
    });
}

void test_network::sendChildCalls(std::size_t index, const call_backend& call)
{
    const auto request = headerValue(call.content, "Test-Request");
    m_pendingChildren[{ index, call.attempt }] = { m_options.childCalls, false, request };
    for (unsigned child = 0; child < m_options.childCalls; ++child) {
        caller_request outgoing;
        outgoing.call = m_nextCall++;
        outgoing.fromBackend = true;
        outgoing.parentToken = headerValue(call.content, "Limpet-Context");
        const auto name = request + "/" + std::to_string(child);
        outgoing.content
            = { "GET", "/" + m_options.services.at(1) + "/child", { { "Test-Request", name } }, makeBytes({}) };
        m_pendingCalls[{ index, outgoing.call }] = { index, name, m_now, nullptr, call.attempt };
        runOnVm(index, [this, index, outgoing] { deliver(index, outgoing); });
    }
}

void test_network::finishBackendCall(std::size_t index, const request_id& attempt,
    const tl::expected<http_answer, backend_failure>& outcome, run_outcome runOutcome)
{
    auto& vm = m_vms[index];
    const auto running = vm.running.find(attempt);
    if (running == vm.running.end())
        return;
    m_history.push_back(run_ended {
        now(), vm.name, headerValue(running->second.content, "Test-Request"), toString(attempt), runOutcome });
    vm.running.erase(running);
    m_pendingChildren.erase({ index, attempt });
    runOnVm(index, [this, index, attempt, outcome] { deliver(index, backend_result { attempt, outcome }); });
}

/// Finishes an attempt when its last child call has been answered.
void test_network::onChildAnswer(std::size_t index, const request_id& parentAttempt, int status)
{
    const auto child = m_pendingChildren.find({ index, parentAttempt });
    if (child == m_pendingChildren.end())
        return;
    child->second.failed = child->second.failed || status != statusOk;
    if (--child->second.remaining > 0)
        return;
    const bool failed = child->second.failed;
    m_pendingChildren.erase(child);
    const auto running = m_vms[index].running.find(parentAttempt);
    if (running == m_vms[index].running.end())
        return;
    auto content = answerOf(running->second, m_vms[index].name);
    content.status = failed ? statusBadGateway : statusOk;
    schedule(m_now, [this, index, parentAttempt, content, failed] {
        finishBackendCall(index, parentAttempt, content, failed ? run_outcome::failed : run_outcome::finished);
    });
}

} // namespace limpet
