#include "limpethatch/version/length_table.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <random>

namespace limpethatch {
namespace {

TestSuite(length_spread);

// Adds 480 samples of 60 prompts in random order. The arguments are the
// standard deviations of ln(tokens) between prompts and between samples of one
// prompt.
LengthSpread Learn(double of_prompts, double of_samples, uint32_t seed) {
  std::mt19937_64 random(seed);
  std::normal_distribution<double> normal;
  std::map<uint32_t, double> means;
  std::map<uint32_t, LengthEstimate> groups;
  LengthSpread spread;
  for (uint32_t sample = 0; sample < 480; ++sample) {
    const auto prompt = static_cast<uint32_t>(random() % 60);
    const auto [mean, added] = means.try_emplace(prompt, 0);
    if (added) {
      mean->second = 5 + of_prompts * normal(random);
    }
    const double tokens = std::exp(mean->second + of_samples * normal(random));
    spread.Add(tokens, groups[prompt]);
    groups[prompt].Add(tokens);
  }
  return spread;
}

Test(length_spread, prompts_predict_length_when_their_samples_are_alike) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    cr_expect(Learn(0.8, 0.4, seed).PromptPredictsLength());
  }
}

Test(length_spread, prompts_do_not_predict_length_when_samples_vary) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    cr_expect_not(Learn(0, 0.6, seed).PromptPredictsLength());
  }
}

Test(length_spread, a_restored_spread_continues_like_the_saved_one) {
  LengthSpread spread = Learn(0.8, 0.4, 1);
  LengthSpread restored(spread.Save());
  spread.Add(300, {});
  restored.Add(300, {});
  cr_expect_eq(spread.Save().SerializeAsString(),
               restored.Save().SerializeAsString());
}

}  // namespace
}  // namespace limpethatch
