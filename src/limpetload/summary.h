#pragma once

#include "sender.h"
#include <map>

namespace limpet {

/// Counts outcomes by stream.
class load_summary {
public:
    explicit load_summary(const load_plan& plan);

    void add(const request_outcome& outcome);
    /// Returns a table with a line for each stream, and the reasons of refusals and failures below it.
    std::string print(std::size_t dropped) const;
    /// Successful answers that were cut or belonged to another request.
    std::size_t wrong() const;

private:
    struct stream_counts {
        std::size_t sent = 0;
        std::size_t repeats = 0;
        std::size_t whole = 0; ///< in time
        std::size_t late = 0;
        std::size_t wrong = 0;
        std::map<std::string, std::size_t> refused; ///< by reason or failure
        std::vector<duration> latencies; ///< of whole answers
    };

    load_plan m_plan;
    std::vector<stream_counts> m_streams;
};

} // namespace limpet
