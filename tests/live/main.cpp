#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <pplx/threadpool.h>

int main(int argc, char **argv)
{
    constexpr std::size_t clientThreads = 4;
    crossplat::threadpool::initialize_with_threads(clientThreads);
    doctest::Context context(argc, argv);
    return context.run();
}
