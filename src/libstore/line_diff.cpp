#include <algorithm>
#include <limpetcroft/store.h>

namespace limpet {

namespace {

    using lines = std::vector<std::string>;

    // The table of the longest common subsequence takes 4 bytes a cell; 16 MB is the most that it may take. Beyond it
    // the differing middle becomes one hunk, which is longer but as true.
    constexpr std::size_t maxCells = 4U << 20;

    // "a\n" gives "a" and "", so that joining restores the text exactly.
    lines split(const std::string& text)
    {
        lines parts;
        std::size_t begin = 0;
        for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
            parts.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        parts.push_back(text.substr(begin));
        return parts;
    }

    std::string join(const lines& parts)
    {
        std::string text;
        for (std::size_t index = 0; index < parts.size(); ++index) {
            text += (index == 0 ? "" : "\n") + parts[index];
        }
        return text;
    }

    struct range {
        std::size_t begin = 0;
        std::size_t end = 0;
        std::size_t size() const { return end - begin; }
    };

    // Length of the longest common subsequence of the lines from each pair of positions to the ends of the ranges.
    class common_lines {
    public:
        common_lines(const lines& before, range old, const lines& after, range fresh)
            : m_old(old)
            , m_fresh(fresh)
            , m_lengths((old.size() + 1) * (fresh.size() + 1))
        {
            for (std::size_t i = old.end; i-- > old.begin;) {
                for (std::size_t j = fresh.end; j-- > fresh.begin;) {
                    at(i, j) = before[i] == after[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
                }
            }
        }
        std::uint32_t& at(std::size_t i, std::size_t j)
        {
            return m_lengths[(i - m_old.begin) * (m_fresh.size() + 1) + (j - m_fresh.begin)];
        }

    private:
        range m_old;
        range m_fresh;
        std::vector<std::uint32_t> m_lengths;
    };

    std::vector<line_hunk> diffRanges(const lines& before, range old, const lines& after, range fresh)
    {
        std::vector<line_hunk> hunks;
        common_lines common(before, old, after, fresh);
        std::size_t i = old.begin;
        std::size_t j = fresh.begin;
        while (i < old.end || j < fresh.end) {
            if (i < old.end && j < fresh.end && before[i] == after[j]) {
                ++i;
                ++j;
                continue;
            }
            line_hunk hunk { .oldLine = i, .newLine = j };
            while ((i < old.end || j < fresh.end) && (i == old.end || j == fresh.end || before[i] != after[j])) {
                if (j == fresh.end || (i < old.end && common.at(i + 1, j) >= common.at(i, j + 1))) {
                    hunk.removed.push_back(before[i++]);
                } else {
                    hunk.added.push_back(after[j++]);
                }
            }
            hunks.push_back(std::move(hunk));
        }
        return hunks;
    }

} // namespace

std::vector<line_hunk> diffLines(const std::string& before, const std::string& after)
{
    const lines old = split(before);
    const lines fresh = split(after);
    const std::size_t shorter = std::min(old.size(), fresh.size());
    std::size_t head = 0;
    while (head < shorter && old[head] == fresh[head]) {
        ++head;
    }
    std::size_t tail = 0;
    while (tail < shorter - head && old[old.size() - 1 - tail] == fresh[fresh.size() - 1 - tail]) {
        ++tail;
    }
    const range oldMiddle { head, old.size() - tail };
    const range freshMiddle { head, fresh.size() - tail };
    if (oldMiddle.size() == 0 && freshMiddle.size() == 0) {
        return {};
    }
    if ((oldMiddle.size() + 1) * (freshMiddle.size() + 1) <= maxCells) {
        return diffRanges(old, oldMiddle, fresh, freshMiddle);
    }
    const auto slice = [](const lines& all, range part) {
        return lines(
            all.begin() + static_cast<std::ptrdiff_t>(part.begin), all.begin() + static_cast<std::ptrdiff_t>(part.end));
    };
    return { { head, head, slice(old, oldMiddle), slice(fresh, freshMiddle) } };
}

result<std::string> undoLines(const std::string& after, const std::vector<line_hunk>& hunks)
{
    lines text = split(after);
    // From the end, so that the positions of earlier hunks stay valid.
    for (auto hunk = hunks.rbegin(); hunk != hunks.rend(); ++hunk) {
        const auto& added = hunk->added;
        if (hunk->newLine > text.size() || added.size() > text.size() - hunk->newLine
            || !std::equal(added.begin(), added.end(), text.begin() + static_cast<std::ptrdiff_t>(hunk->newLine))) {
            return fail(error_kind::malformed,
                "the audit trail does not match the rules text at line " + std::to_string(hunk->newLine + 1)
                    + "; restore the rules from your own copy");
        }
        const auto begin = text.begin() + static_cast<std::ptrdiff_t>(hunk->newLine);
        const auto place = text.erase(begin, begin + static_cast<std::ptrdiff_t>(added.size()));
        text.insert(place, hunk->removed.begin(), hunk->removed.end());
    }
    return join(text);
}

} // namespace limpet
