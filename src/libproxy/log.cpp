#include <chrono>
#include <limpetcroft/proxy.h>
#include <unistd.h>

namespace limpet::proxy {
namespace {

    /// Appends a JSON string. Control characters are replaced by spaces.
    void appendString(std::string& line, std::string_view text)
    {
        constexpr char firstPrintable = 0x20;
        line += '"';
        for (const char each : text) {
            if (each == '"' || each == '\\')
                line += '\\';
            line += each >= 0 && each < firstPrintable ? ' ' : each;
        }
        line += '"';
    }

    void appendField(std::string& line, std::string_view name, std::string_view value)
    {
        line += ',';
        appendString(line, name);
        line += ':';
        appendString(line, value);
    }

} // namespace

log_sink::log_sink(int descriptor, std::string node, log_limits limits)
    : m_descriptor(descriptor)
    , m_node(std::move(node))
    , m_limits(limits)
{
}

void log_sink::write(const mesh::log_event& line, time_point now)
{
    auto& bucket = m_buckets.try_emplace(line.name, token_bucket { m_limits.burst, now, 0 }).first->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.refilled).count();
    bucket.tokens = std::min(m_limits.burst, bucket.tokens + elapsed * m_limits.linesPerSecond);
    bucket.refilled = now;
    if (bucket.tokens < 1 || m_buffer.size() > m_limits.maxBufferedBytes) {
        ++bucket.dropped;
        return;
    }
    bucket.tokens -= 1;
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    m_buffer += "{\"t\":";
    m_buffer += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count());
    appendField(m_buffer, "node", m_node);
    appendField(m_buffer, "event", line.name);
    for (const auto& [name, value] : line.fields)
        appendField(m_buffer, name, value);
    if (bucket.dropped > 0)
        appendField(m_buffer, "dropped_before", std::to_string(std::exchange(bucket.dropped, 0)));
    m_buffer += "}\n";
}

void log_sink::flush()
{
    if (m_buffer.empty())
        return;
    const auto written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    // Unwritten bytes stay buffered while the reader is slow; write() drops lines once the buffer is full.
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
}

} // namespace limpet::proxy
