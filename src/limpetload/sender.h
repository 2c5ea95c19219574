#pragma once

#include "plan.h"
#include <libsoup/soup.h>
#include <limpetcroft/check.h>
#include <limpetcroft/gobject.h>
#include <unordered_map>

namespace limpet {

/// How one request ended, for the summary.
struct request_outcome {
    std::size_t stream = 0;
    bool repeat = false;
    bool inTime = false; ///< before its deadline
    request_answered answer;
};

/// Sends the requests of a plan and follows each to its answer. Runs on the default main context.
class load_sender {
public:
    using on_event = std::function<void(const history_event&)>;
    using on_outcome = std::function<void(const request_outcome&)>;

    /// The prefix makes the values of Test-Request unique among all callers of a test.
    load_sender(const load_plan& plan, std::uint64_t seed, std::string prefix, on_event event, on_outcome outcome);
    load_sender(const load_sender&) = delete;
    load_sender& operator=(const load_sender&) = delete;

    /// Starts the arrivals. `done` is called when the length of the plan has passed and every request has ended.
    void start(std::function<void()> done);
    /// Arrivals that were not sent because too many requests were in flight.
    std::size_t dropped() const { return m_dropped; }

private:
    struct stream_state {
        random_source random;
        std::optional<duration> next; ///< since the start
        std::uint64_t count = 0;
        source_handle timer;
    };
    /// A request and its repeats.
    struct caller_request {
        std::size_t stream = 0;
        std::string request;
        std::string first; ///< the request that this one repeats; empty for the first itself
        std::string path;
        std::size_t target = 0;
        std::size_t repeatsLeft = 0;
    };
    struct pending;

    static void onRestarted(SoupMessage* message, gpointer data);
    static void onAnswer(GObject* session, GAsyncResult* outcome, gpointer data);

    void arrive(std::size_t stream);
    void schedule(std::size_t stream);
    caller_request makeRequest(std::size_t stream);
    std::size_t chooseTarget(const load_stream& stream, random_source& random) const;
    gobject_ptr<SoupMessage> makeMessage(const caller_request& request) const;
    void send(const caller_request& request);
    void finish(const pending& sent, request_answered answer);
    bool mayRepeat(const load_stream& stream, const request_answered& answer) const;
    void repeat(const caller_request& request, const request_answered& answer);
    void checkDone();

    load_plan m_plan;
    std::string m_prefix;
    on_event m_event;
    on_outcome m_outcome;
    std::function<void()> m_done;
    /// Idle sessions of each target, the last used one last. A session has one request at a time: its queue is scanned
    /// on every event, which took all the time of the process with 2000 requests in flight on one session.
    std::vector<std::vector<gobject_ptr<SoupSession>>> m_idle;
    std::vector<stream_state> m_streams;
    std::unordered_map<std::uint64_t, source_handle> m_waiting; ///< repeats that wait for their time
    std::uint64_t m_lastWaiting = 0;
    duration m_start { 0 };
    std::size_t m_inFlight = 0;
    std::size_t m_dropped = 0;
    source_handle m_doneTimer;
};

} // namespace limpet
