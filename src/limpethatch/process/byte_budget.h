// Limits the memory that many holders take together.
#ifndef LIMPETHATCH_PROCESS_BYTE_BUDGET_H_
#define LIMPETHATCH_PROCESS_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>

namespace limpethatch {

// To be used on one thread.
class ByteBudget {
 private:
  struct Total {
    const size_t max_bytes;
    size_t bytes = 0;
    size_t holders = 0;
  };

 public:
  // The bytes of one holder. They count until it is destroyed, which may be
  // after the budget.
  class Share {
   public:
    explicit Share(ByteBudget& budget) : total_(budget.total_) {
      ++total_->holders;
    }
    ~Share() {
      Set(0);
      --total_->holders;
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    void Set(size_t bytes) {
      total_->bytes += bytes;
      total_->bytes -= bytes_;
      bytes_ = bytes;
    }
    size_t bytes() const { return bytes_; }
    // Whether the budget is spent and this share is above the mean. One always
    // is then, so that whoever ends these holders ends the excess.
    bool Exceeds() const {
      return total_->bytes > total_->max_bytes &&
             bytes_ > total_->max_bytes / total_->holders;
    }

   private:
    const std::shared_ptr<Total> total_;
    size_t bytes_ = 0;
  };

  explicit ByteBudget(size_t max_bytes)
      : total_(std::make_shared<Total>(Total{max_bytes})) {}

  size_t bytes() const { return total_->bytes; }

 private:
  const std::shared_ptr<Total> total_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_BYTE_BUDGET_H_
