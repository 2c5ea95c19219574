// Runs a harness on each file of its corpus and on a fixed series of mutations of them, so that the verdict of a test
// run is always the same.

#include "harness.h"
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <vector>

namespace {

constexpr unsigned mutationsPerFile = 3000;
constexpr unsigned maxChanges = 8;

std::vector<std::string> readCorpus(const std::string& folder)
{
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        names.push_back(entry.path().string());
    std::sort(names.begin(), names.end());
    std::vector<std::string> corpus;
    for (const auto& name : names) {
        std::ifstream file(name, std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return corpus;
}

/// Changes, inserts, deletes or repeats a few bytes.
std::string mutate(std::string input, std::mt19937& random)
{
    const auto below = [&](std::size_t bound) { return bound == 0 ? 0 : random() % bound; };
    const auto changes = 1 + below(maxChanges);
    for (std::size_t change = 0; change < changes; ++change) {
        const auto position = below(input.size() + 1);
        const auto byte = static_cast<char>(below(256));
        switch (below(5)) {
        case 0:
            input.insert(position, 1, byte);
            break;
        case 1:
            input.erase(position, 1 + below(4));
            break;
        case 2:
            input.insert(position, input.substr(below(input.size() + 1), below(64)));
            break;
        case 3:
            input.insert(position, std::to_string(random()));
            break;
        default:
            if (position < input.size())
                input[position] = byte;
        }
    }
    return input;
}

void run(const std::string& input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " CORPUS_FOLDER\n";
        return 2;
    }
    const auto corpus = readCorpus(argv[1]);
    std::mt19937 random(1);
    std::size_t runs = 0;
    for (const auto& each : corpus) {
        run(each);
        for (unsigned count = 0; count < mutationsPerFile; ++count)
            run(mutate(each, random));
        runs += 1 + mutationsPerFile;
    }
    std::cout << runs << " inputs, none failed\n";
    return corpus.empty() ? 1 : 0;
}
