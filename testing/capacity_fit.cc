// Fits the slopes of control cost from the lines of testing/capacity.sh:
//
//   capacity_fit docs/data/capacity.jsonl
//
// Per entry instance: y = base + a * workers owned + b * other instances, by
// least squares; the error is one standard error of the coefficient. It prints
// a Markdown table with the fit and its value at the designed size.

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <fstream>
#include <string>
#include <vector>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr std::size_t kTerms = 3;
using Row = std::array<double, kTerms>;

struct Fit {
  Row coefficients_{};
  Row errors_{};
};

// Solves the normal equations by Gauss-Jordan elimination; kTerms is small and
// the columns are well scaled.
auto LeastSquares(const std::vector<Row>& rows, const std::vector<double>& ys)
    -> Fit {
  std::array<std::array<double, 2 * kTerms>, kTerms> m{};
  Row right{};
  for (std::size_t n = 0; n < rows.size(); ++n) {
    for (std::size_t i = 0; i < kTerms; ++i) {
      right[i] += rows[n][i] * ys[n];
      for (std::size_t j = 0; j < kTerms; ++j) {
        m[i][j] += rows[n][i] * rows[n][j];
      }
    }
  }
  for (std::size_t i = 0; i < kTerms; ++i) {
    m[i][kTerms + i] = 1;
  }
  for (std::size_t i = 0; i < kTerms; ++i) {
    const auto pivot = m[i][i];
    for (auto& value : m[i]) {
      value /= pivot;
    }
    for (std::size_t k = 0; k < kTerms; ++k) {
      const auto factor = m[k][i];
      for (std::size_t j = 0; k != i && j < 2 * kTerms; ++j) {
        m[k][j] -= factor * m[i][j];
      }
    }
  }
  Fit fit;
  for (std::size_t i = 0; i < kTerms; ++i) {
    for (std::size_t j = 0; j < kTerms; ++j) {
      fit.coefficients_[i] += m[i][kTerms + j] * right[j];
    }
  }
  double squares = 0;
  for (std::size_t n = 0; n < rows.size(); ++n) {
    auto rest = ys[n];
    for (std::size_t i = 0; i < kTerms; ++i) {
      rest -= fit.coefficients_[i] * rows[n][i];
    }
    squares += rest * rest;
  }
  const auto freedom =
      static_cast<double>(rows.size()) - static_cast<double>(kTerms);
  for (std::size_t i = 0; i < kTerms; ++i) {
    fit.errors_[i] =
        freedom > 0 ? std::sqrt(squares / freedom * m[i][kTerms + i]) : NAN;
  }
  return fit;
}

struct Quantity {
  const char* label_;
  const char* metric_;
  double scale_;
  bool is_rate_;
};

constexpr Quantity kQuantities[] = {
    {"processor, % of a core", "cpu_seconds_total", 100, true},
    {"memory, MB", "resident_bytes", 1e-6, false},
    {"sent, B/s", "client_bytes_out_total", 1, true},
    {"received, B/s", "client_bytes_in_total", 1, true},
    {"store reads, 1/s", "store_reads_total", 1, true},
    {"store lease calls, 1/s", "store_lease_calls_total", 1, true},
};

struct Size {
  const char* label_;
  double workers_;
  double entries_;
};

constexpr Size kSizes[] = {{"48 workers, 9 instances", 48, 9},
                           {"2,800 workers, 9", 2800, 9},
                           {"2,800 workers, 40", 2800, 40}};

auto Run(const std::string& path) -> void {
  std::vector<Json::Value> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(ParseJson(line));
  }
  fmt::print("| per instance | base | per worker owned | per other instance |");
  for (const auto& size : kSizes) {
    fmt::print(" {} |", size.label_);
  }
  fmt::print("\n|---|---|---|---|---|---|---|\n");
  for (const auto& quantity : kQuantities) {
    std::vector<Row> rows;
    std::vector<double> ys;
    for (const auto& line : lines) {
      const auto entries = line["entries"].asDouble();
      const auto& values = line[quantity.metric_];
      const auto change =
          quantity.is_rate_
              ? (values["after"].asDouble() - values["before"].asDouble()) /
                    line["seconds"].asDouble()
              : values["after"].asDouble();
      rows.push_back({1, line["workers"].asDouble() / entries, entries - 1});
      ys.push_back(change * quantity.scale_ / entries);
    }
    const auto fit = LeastSquares(rows, ys);
    fmt::print("| {} |", quantity.label_);
    for (std::size_t i = 0; i < kTerms; ++i) {
      fmt::print(" {:.3g} ± {:.1g} |", fit.coefficients_[i], fit.errors_[i]);
    }
    for (const auto& size : kSizes) {
      fmt::print(" {:.3g} |",
                 fit.coefficients_[0] +
                     fit.coefficients_[1] * size.workers_ / size.entries_ +
                     fit.coefficients_[2] * (size.entries_ - 1));
    }
    fmt::print("\n");
  }
}

}  // namespace
}  // namespace lentilscale

auto main(int argc, char** argv) -> int {
  if (argc != 2) {
    return 2;
  }
  lentilscale::Run(argv[1]);
  return 0;
}
