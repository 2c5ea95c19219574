// A whole node with drawn events: messages of other nodes (valid ones that were changed), requests, responses and time.
// Each request gets one response at most, and a request that is not idempotent runs once at most.

#include "codec.h"
#include "harness.h"
#include "mesh_sample_test.h"

namespace {

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;

/// Takes values from the input.
class input_reader {
public:
    input_reader(const std::uint8_t* data, std::size_t size)
        : m_rest(reinterpret_cast<const char*>(data), size)
    {
    }
    bool empty() const { return m_rest.empty(); }
    unsigned next()
    {
        if (m_rest.empty())
            return 0;
        const auto value = static_cast<unsigned char>(m_rest.front());
        m_rest.remove_prefix(1);
        return value;
    }

private:
    std::string_view m_rest;
};

/// Changes some bytes of a valid message.
std::string corrupt(std::string bytes, input_reader& input)
{
    for (unsigned changes = input.next() % 4; changes > 0 && !bytes.empty(); --changes) {
        const std::size_t position = (input.next() * 256U + input.next()) % bytes.size();
        bytes[position] = static_cast<char>(input.next());
    }
    return bytes;
}

class node_run {
public:
    explicit node_run(input_reader input)
        : m_input(input)
    {
        m_fixture.configure();
        m_fixture.addBackend("i-1", 4);
    }

    void run()
    {
        constexpr unsigned maxEvents = 400;
        for (unsigned count = 0; count < maxEvents && !m_input.empty(); ++count) {
            step();
            checkActions();
        }
    }

private:
    void step()
    {
        const auto drawn = m_input.next();
        switch (drawn % 10) {
        case 0:
            m_fixture.request("/stock/1");
            break;
        case 1:
            m_fixture.request("/orders/1", "planners-key", "POST");
            break;
        case 2:
            m_fixture.handle(status_received { { "10.0.0.2", 7000 }, corrupt(peerStatus(), m_input) });
            break;
        case 3:
            m_fixture.handle(frame_received { 3, { "10.0.0.2", 7000 }, corrupt(callFrame(), m_input),
                std::chrono::milliseconds(m_input.next() * 10) });
            break;
        case 4:
            m_fixture.handle(frame_received { 4, { "10.0.0.2", 7000 }, corrupt(answerFrame(), m_input) });
            break;
        case 5:
            finishRun();
            break;
        case 6:
            m_fixture.handle(client_disconnected { m_input.next() % (m_fixture.calls + 1) });
            break;
        case 7:
            m_fixture.handle(link_closed { drawn % 2 + 3U, { "10.0.0.2", 7000 }, m_input.next() % 2 == 0 });
            break;
        case 8:
            m_fixture.handle(frame_received { 3, { "10.0.0.2", 7000 }, corrupt(callerFrame(), m_input),
                std::chrono::milliseconds(m_input.next()), m_input.next() % 4 != 0 });
            break;
        default:
            m_fixture.advance(std::chrono::milliseconds(m_input.next() * 4));
        }
    }

    std::string peerStatus()
    {
        wire::status_data status;
        status.node = "peer";
        status.run = 1;
        status.sequence = ++m_sequence;
        status.region = "north";
        status.availability_zone = "north-a";
        status.service = m_input.next() % 2 == 0 ? "stock" : "orders";
        status.endpoint = "i-2";
        status.slots = 10;
        status.ip = "10.0.0.2";
        status.port = 7000;
        status.load = std::make_unique<wire::load_report_data>();
        status.load->limit = 10;
        status.uses.emplace_back(7, 1.5F, 9);
        return encodeStatus(status);
    }

    /// sentMs: time of the sender in its frame; 0: unknown.
    std::string callFrame(std::uint32_t sentMs = 0)
    {
        wire::frame_data frame;
        frame.sent_ms = sentMs;
        frame.call = std::make_unique<wire::call_request_data>();
        frame.call->id = m_input.next();
        frame.call->service = "stock";
        frame.call->request_id = "f" + std::to_string(++m_sequence);
        frame.call->method = "GET";
        frame.call->path = "/stock/1";
        frame.call->remaining_us = 1'000'000;
        frame.call->queue_us = 500'000;
        return encodeFrame(frame);
    }

    /// Returns a frame of a node whose calls this one serves, or that asks for one of this node's calls. Its time may
    /// be early, late or missing.
    std::string callerFrame()
    {
        wire::frame_data frame;
        const auto id = m_input.next();
        switch (m_input.next() % 4) {
        case 0:
            return callFrame(m_input.next() * 16);
        case 1:
            frame.check = std::make_unique<wire::call_check_data>();
            frame.check->id = id % 64;
            break;
        case 2:
            frame.confirmation = std::make_unique<wire::call_confirmation_data>();
            frame.confirmation->id = id;
            frame.confirmation->remaining_us = m_input.next() * 10'000;
            break;
        default:
            frame.cancel = std::make_unique<wire::call_cancel_data>();
            frame.cancel->id = id;
        }
        frame.sent_ms = m_input.next() * 16;
        return encodeFrame(frame);
    }

    std::string answerFrame()
    {
        wire::frame_data frame;
        if (m_input.next() % 2 == 0) {
            frame.answer = std::make_unique<wire::call_answer_data>();
            frame.answer->id = m_input.next() % 64;
            frame.answer->status = 200;
        } else {
            frame.failure = std::make_unique<wire::call_failure_data>();
            frame.failure->id = m_input.next() % 64;
            frame.failure->kind = static_cast<std::uint8_t>(m_input.next() % 6);
        }
        return encodeFrame(frame);
    }

    void finishRun()
    {
        if (m_running.empty())
            return;
        const auto index = m_input.next() % m_running.size();
        const auto attempt = m_running[index];
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
        const auto kind = m_input.next() % 4;
        if (kind == 0)
            m_fixture.handle(backend_result { attempt, tl::unexpected(failure_kind::lost) });
        else
            m_fixture.handle(backend_result { attempt, http_answer { kind == 1 ? 500 : 200, {}, makeBytes("ok") } });
    }

    void checkActions()
    {
        for (const auto& each : m_fixture.take<send_response>())
            fuzz::require(m_answered.insert(each.call).second, "a request gets one response at most");
        for (const auto& each : m_fixture.take<run_on_backend>()) {
            m_running.push_back(each.attempt);
            fuzz::require(each.idempotent || m_ran.insert(each.requestId).second || each.requestId.front() != 'r',
                "a request that is not idempotent runs once at most");
            fuzz::require(each.remaining > duration(0), "nothing is started without time left");
        }
        m_fixture.out.clear();
    }

    input_reader m_input;
    node_fixture m_fixture;
    std::uint64_t m_sequence = 0;
    std::vector<std::uint64_t> m_running;
    std::set<std::uint64_t> m_answered;
    std::set<std::string> m_ran;
};

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    node_run(input_reader(data, size)).run();
    return 0;
}
